//! How long a removal of a member is kept under way after the member is out of every group.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    quotas::PartGrants,
    replicas::{ChangeKind, ReplicaChange, ReplicasState},
};

/// Watches over removals: the quotas have one part to spare for a member that is out and still spends its own, so the
/// next change waits until that one's hold on it is over.
pub(crate) struct RemovalMonitor {
    grants: Arc<Mutex<PartGrants>>,
    /// Time for which a member may hold its part without a word of a leader.
    patience: Duration,
    observed_removal: Option<ObservedRemoval>,
}

/// A member that is known to be out of every group.
struct ObservedRemoval {
    /// The term of the leader that knows.
    term: u64,
    /// The number of the change that takes the member out.
    change: u64,
    /// Since when the leader knows.
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

    /// Whether the member that a change takes out, and that is out of every group, no longer has its part. Asked at each
    /// tick of the leader of this term. `now` is a steady time that counts suspension.
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

/// Whether the replica that joins answers at the address of the one that goes: that one has ended, then.
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
