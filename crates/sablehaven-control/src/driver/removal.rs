//! Decides when the removal of a member is complete, after the member has left every group.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    quotas::PartGrants,
    replicas::{ChangeKind, ReplicaChange, ReplicasState},
};

/// Delays the completion of a removal while the removed member may still spend its part of the quotas.
///
/// A removed member may spend its part until its lease expires. The quotas are divided so that there is one spare part,
/// for one such member. The next membership change therefore waits until the lease of the removed member has expired.
pub(crate) struct RemovalMonitor {
    grants: Arc<Mutex<PartGrants>>,
    /// How long a member's lease on its part may remain valid without contact with a leader.
    patience: Duration,
    observed_removal: Option<ObservedRemoval>,
}

/// A member that this replica, as the leader, knows to have left every group.
struct ObservedRemoval {
    /// The term in which this replica leads.
    term: u64,
    /// The number of the change that removes the member.
    change: u64,
    /// When the leader first knew in this term that the member had left.
    since: Duration,
}

impl RemovalMonitor {
    pub(crate) fn new(grants: Arc<Mutex<PartGrants>>, patience: Duration) -> Self {
        Self {
            grants,
            patience,
            observed_removal: None,
        }
    }

    /// Whether the member that a change removes can no longer spend its part of the quotas. The leader of `term` calls
    /// this at each tick once the member has left every group. `now` is the reading of a monotonic clock that also
    /// advances while the machine is suspended.
    pub(crate) fn is_removal_complete(
        &mut self,
        now: Duration,
        term: u64,
        change: &ReplicaChange,
        replicas: &ReplicasState,
    ) -> bool {
        let Some(removed) = change.kind.removed() else {
            return true;
        };
        if is_in_place_replacement(change.kind, replicas) {
            return true;
        }
        let grants = self.grants.lock().unwrap_or_else(PoisonError::into_inner);
        if !grants.may_be_held(now, term, removed, self.patience) {
            return true;
        }
        let observed = self.observed_removal.take();
        let observed =
            observed.filter(|observed| observed.term == term && observed.change == change.number);
        let observed = observed.unwrap_or(ObservedRemoval {
            term,
            change: change.number,
            since: now,
        });
        let waited = now.saturating_sub(observed.since);
        self.observed_removal = Some(observed);
        waited >= self.patience
    }
}

/// Whether the replica that joins has the internal address of the one that leaves. If so, the process of the leaving
/// replica has ended and spends nothing any more.
fn is_in_place_replacement(kind: ChangeKind, replicas: &ReplicasState) -> bool {
    let internal_address = |replica| {
        let addresses = replicas.replicas().get(&replica)?;
        Some(addresses.internal)
    };
    let joining = kind.added().and_then(internal_address);
    let leaving = kind.removed().and_then(internal_address);
    joining.is_some() && joining == leaving
}

#[cfg(test)]
mod tests;
