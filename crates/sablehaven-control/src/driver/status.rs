//! What the driver tells the servers.

use std::time::Instant;

use sablehaven_consensus::{ReplicaId, Status};

/// What the servers follow; published on each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PublishedState {
    /// The leader of group 0, where known.
    pub(crate) leader: Option<ReplicaId>,
    /// Since when this replica leads group 0, if it does.
    pub(crate) leading_since: Option<Instant>,
    /// The latest revision of the shared state.
    pub(crate) revision: u64,
    /// The version of the routes that are applied.
    pub(crate) routes_version: u64,
    /// The revision of the evacuated zones.
    pub(crate) evacuation_revision: u64,
    /// The members of group 0 that vote.
    pub(crate) members: u32,
    /// Whether this replica is one of them.
    pub(crate) is_member: bool,
    /// The term.
    pub(crate) term: u64,
    /// Whether this replica holds the log of a deployment.
    pub(crate) is_formed: bool,
    /// Why the driver ended, if it did.
    pub(crate) failure: Option<String>,
}

impl PublishedState {
    pub(crate) fn is_leader(&self) -> bool {
        self.leading_since.is_some()
    }
}

/// The state of every group.
#[derive(Clone, Debug)]
pub(crate) struct DriverStatus {
    pub(crate) groups: Vec<GroupState>,
}

/// The state of one group.
#[derive(Clone, Debug)]
pub(crate) struct GroupState {
    pub(crate) group: u32,
    pub(crate) replica: Status,
    pub(crate) applied: u64,
    /// Whether the log holds what may begin a change of the members and is not applied yet. Of group 0 only.
    pub(crate) has_unapplied_change: bool,
}
