//! What a leader knows of the parts that members may still hold, as a pure decision.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_consensus::ReplicaId;

/// When members last asked this replica for their parts while it led. Times are steady and count suspension.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartGrants {
    /// The term in which this replica leads, and when it first proved it.
    leading: Option<(u64, Duration)>,
    asked_at: BTreeMap<ReplicaId, Duration>,
}

impl PartGrants {
    /// Notes, before the proof that leads to a grant, that a member asks.
    pub(crate) fn record_probe(&mut self, now: Duration, member: ReplicaId) {
        self.asked_at.insert(member, now);
    }

    /// Notes that this replica leads this term.
    pub(crate) fn record_leadership(&mut self, now: Duration, term: u64) {
        if self.leading.is_none_or(|(known, _)| known != term) {
            self.leading = Some((term, now));
        }
    }

    /// Whether a member that is out of the group may still hold its part: this leader, or one before it, may have granted
    /// it within this time.
    pub(crate) fn may_be_held(
        &self,
        now: Duration,
        term: u64,
        member: ReplicaId,
        patience: Duration,
    ) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < patience;
        let leads_long = self
            .leading
            .is_some_and(|(known, since)| known == term && !is_recent(since));
        let has_asked = self.asked_at.get(&member).is_some_and(|at| is_recent(*at));
        !leads_long || has_asked
    }
}

#[cfg(test)]
mod tests;
