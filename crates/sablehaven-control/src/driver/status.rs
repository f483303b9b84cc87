//! The state that the driver reports to the servers.

use std::time::Instant;

use sablehaven_consensus::{ReplicaId, Status};

/// The state that the servers follow. The driver publishes it whenever it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PublishedState {
    /// The leader of group 0, if known.
    pub(crate) leader: Option<ReplicaId>,
    /// When this replica became the leader of group 0, if it leads now.
    pub(crate) leading_since: Option<Instant>,
    /// The latest revision of the shared state.
    pub(crate) revision: u64,
    /// The version of the routes in the shared state.
    pub(crate) routes_version: u64,
    /// The revision of the evacuated zones.
    pub(crate) evacuation_revision: u64,
    /// The number of voters of group 0.
    pub(crate) members: u32,
    /// Whether this replica is a voter of group 0.
    pub(crate) is_member: bool,
    /// The current term of group 0.
    pub(crate) term: u64,
    /// Whether this replica is part of a deployment, that is, its log defines voters.
    pub(crate) is_formed: bool,
    /// Why the driver ended, if it did.
    pub(crate) failure: Option<String>,
}

impl PublishedState {
    /// Whether this replica leads group 0.
    pub(crate) fn is_leader(&self) -> bool {
        self.leading_since.is_some()
    }
}

/// The state of every group.
#[derive(Clone, Debug)]
pub(crate) struct DriverStatus {
    pub(crate) groups: Vec<GroupState>,
}

/// The state of one consensus group.
#[derive(Clone, Debug)]
pub(crate) struct GroupState {
    pub(crate) group: u32,
    pub(crate) replica: Status,
    /// The index of the last applied entry.
    pub(crate) applied: u64,
    /// Whether the log contains an entry that may begin a membership change and has not been applied yet. Meaningful
    /// for group 0 only.
    pub(crate) has_unapplied_change: bool,
}
