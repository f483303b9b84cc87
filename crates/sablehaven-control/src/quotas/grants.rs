//! The leader's record of the members that may still have a lease on their parts of the quotas. Does no I/O.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_consensus::ReplicaId;

/// When members last probed this replica for a lease while it led. All times are readings of a monotonic clock that also
/// advances while the machine is suspended.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartGrants {
    /// The term in which this replica leads, and when it first proved its leadership in that term.
    leading: Option<(u64, Duration)>,
    probed_at: BTreeMap<ReplicaId, Duration>,
}

impl PartGrants {
    /// Records a member's probe. Must be called before the proof of leadership on which the grant is based.
    pub(crate) fn record_probe(&mut self, now: Duration, member: ReplicaId) {
        self.probed_at.insert(member, now);
    }

    /// Records a proof that this replica leads in this term.
    pub(crate) fn record_leadership(&mut self, now: Duration, term: u64) {
        if self.leading.is_none_or(|(known, _)| known != term) {
            self.leading = Some((term, now));
        }
    }

    /// Whether a member that was removed from the group may still have a lease on its part, because this leader or an
    /// earlier one may have granted it within `patience`.
    pub(crate) fn may_be_held(
        &self,
        now: Duration,
        term: u64,
        member: ReplicaId,
        patience: Duration,
    ) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < patience;
        let earlier_grants_expired = self
            .leading
            .is_some_and(|(known, since)| known == term && !is_recent(since));
        let has_probed = self.probed_at.get(&member).is_some_and(|at| is_recent(*at));
        !earlier_grants_expired || has_probed
    }
}

#[cfg(test)]
mod tests;
