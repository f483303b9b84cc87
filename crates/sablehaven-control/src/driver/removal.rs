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
pub(crate) struct RemovalWatch {
    grants: Arc<Mutex<PartGrants>>,
    /// Time for which a member may hold its part without a word of a leader.
    patience: Duration,
    known_out: Option<KnownRemoval>,
}

/// A member that is known to be out of every group.
struct KnownRemoval {
    /// The term of the leader that knows.
    term: u64,
    /// The number of the change that takes the member out.
    change: u64,
    /// Since when the leader knows.
    since: Duration,
}

impl RemovalWatch {
    pub(crate) fn new(grants: Arc<Mutex<PartGrants>>, patience: Duration) -> Self {
        Self {
            grants,
            patience,
            known_out: None,
        }
    }

    /// Whether the member that a change takes out, and that is out of every group, no longer has its part. Asked at each
    /// tick of the leader of this term. `now` is a steady time that counts suspension.
    pub(crate) fn is_over(
        &mut self,
        now: Duration,
        term: u64,
        change: &ReplicaChange,
        replicas: &ReplicasState,
    ) -> bool {
        let Some(removed) = change.kind.removed() else {
            return true;
        };
        if replaces_in_place(change.kind, replicas) {
            return true;
        }
        let grants = self.grants.lock().unwrap_or_else(PoisonError::into_inner);
        if !grants.may_be_held(now, term, removed, self.patience) {
            return true;
        }
        let known = self.known_out.take();
        let known = known.filter(|known| known.term == term && known.change == change.number);
        let known = known.unwrap_or(KnownRemoval {
            term,
            change: change.number,
            since: now,
        });
        let waited = now.saturating_sub(known.since);
        self.known_out = Some(known);
        waited >= self.patience
    }
}

/// Whether the replica that joins answers at the address of the one that goes: that one has ended, then.
fn replaces_in_place(kind: ChangeKind, replicas: &ReplicasState) -> bool {
    let internal = |replica| {
        let addresses = replicas.replicas().get(&replica)?;
        Some(addresses.internal)
    };
    let joining = kind.added().and_then(internal);
    let going = kind.removed().and_then(internal);
    joining.is_some() && joining == going
}

#[cfg(test)]
mod tests;
