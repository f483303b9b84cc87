//! Bodies of the operators' interface.

use std::net::SocketAddr;

use sablehaven_consensus::ReplicaId;
use sablehaven_types::{AgentId, Placement, RelayId, RequestQuota, TenantName};
use serde::{Deserialize, Serialize};

use crate::replicas::{ReplicaAddresses, ReplicaChange};

/// Paths of the operators' interface.
pub mod paths {
    /// POST [`sablehaven_types::ApplyCommand`], answers [`sablehaven_types::ApplyOutcome`].
    pub const APPLY: &str = "/operator/v1/apply";
    /// GET, answers [`sablehaven_types::Configuration`]. With `unconfirmed=true` here and in
    /// [`HISTORY`] and [`BACKENDS`], any replica answers what it has applied.
    pub const CONFIGURATION: &str = "/operator/v1/configuration";
    /// GET, answers a list of [`sablehaven_types::CommandRecord`], oldest first.
    pub const HISTORY: &str = "/operator/v1/history";
    /// GET with `version` and `timeout_ms`, answers [`super::WaitReply`].
    pub const WAIT: &str = "/operator/v1/wait";
    /// GET, answers a list of [`sablehaven_types::BackendRecord`].
    pub const BACKENDS: &str = "/operator/v1/backends";
    /// GET, answers [`super::ControlStatus`]; every replica answers for itself.
    pub const STATUS: &str = "/operator/v1/status";
    /// GET, answers a list of [`super::QuotaUsage`]; every replica answers for what it granted itself.
    pub const QUOTAS: &str = "/operator/v1/quotas";
    /// POST [`super::AddReplica`], answers [`crate::replicas::ReplicasOutcome`].
    pub const ADD: &str = "/operator/v1/control/add";
    /// POST [`super::RemoveReplica`], answers [`crate::replicas::ReplicasOutcome`].
    pub const REMOVE: &str = "/operator/v1/control/remove";
    /// POST [`super::ReplaceReplica`], answers [`crate::replicas::ReplicasOutcome`].
    pub const REPLACE: &str = "/operator/v1/control/replace";
    /// POST [`super::TransferLeadership`], answers [`super::TransferStarted`].
    pub const TRANSFER: &str = "/operator/v1/transfer";
    /// POST [`sablehaven_types::LedgerKey`], answers [`sablehaven_types::ClaimAnswer`].
    pub const LOOK_UP: &str = "/operator/v1/ledger/look_up";
}

/// Why a call has no answer of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// The step that failed and why.
    pub error: String,
    /// With status 421: the leader's operators' interface, where known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
    /// With status 503: when to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// What a tenant has had of one control replica, or of several together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaUsage {
    /// The tenant.
    pub tenant: TenantName,
    /// Its quota over all gateways; `None` for any number of requests.
    pub quota: Option<RequestQuota>,
    /// Tokens granted since the replica's start.
    pub granted: u64,
    /// Requests refused since then because the quota was used up.
    pub refused: u64,
    /// Tokens that are there now.
    pub tokens: f64,
}

/// Whether a version is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReply {
    /// The version that was asked for.
    pub version: u64,
    /// Whether every agent that may hold a lease has put it in force, proved by the leader.
    pub in_force: bool,
    /// Agents that may hold a lease and have not put it in force.
    pub behind: Vec<AgentBehind>,
    /// Whether the leader is so new that agents with a lease of its predecessor may be unknown to
    /// it; this ends a lease's duration after its election.
    pub settling: bool,
}

/// An agent in which a version is not in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentBehind {
    /// The agent.
    pub agent: AgentId,
    /// The version that it has.
    pub version: u64,
    /// Time since it was last known to be granted a lease, in milliseconds.
    pub lease_age_ms: u64,
}

/// One replica's view of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The replica that answers.
    pub replica: ReplicaId,
    /// The deployment.
    pub deployment: String,
    /// Whether it holds the log of a deployment; otherwise it waits to form one or to be added.
    pub is_formed: bool,
    /// The leader of group 0, where known.
    pub leader: Option<ReplicaId>,
    /// Version of the configuration that this replica has applied.
    pub configuration_version: u64,
    /// Revision that this replica has applied.
    pub revision: u64,
    /// The control replicas.
    pub replicas: Vec<ReplicaState>,
    /// The change of the replicas that is under way.
    pub change: Option<ReplicaChange>,
    /// The consensus groups.
    pub groups: Vec<GroupStatus>,
    /// Relays connected to this replica.
    pub relays: Vec<RelayState>,
    /// Agents that those relays report.
    pub agents: Vec<AgentState>,
    /// Back ends that agents suspect but that the floor keeps in service.
    pub held_back: Vec<sablehaven_types::BackendId>,
}

/// A control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaState {
    /// The replica.
    pub replica: ReplicaId,
    /// Where it is reached.
    pub addresses: ReplicaAddresses,
    /// Whether the replica that answers has a connection to it (true for itself).
    pub connected: bool,
}

/// One consensus group as this replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group; 0 holds the configuration, the others the ledger.
    pub group: u32,
    /// Its leader, where known.
    pub leader: Option<ReplicaId>,
    /// The term.
    pub term: u64,
    /// The last entry known to be committed.
    pub commit: u64,
    /// The last entry applied.
    pub applied: u64,
    /// The last entry of the log.
    pub last_index: u64,
    /// Replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// Replicas that follow without a vote.
    pub learners: Vec<ReplicaId>,
    /// The other members, on the leader only.
    pub peers: Vec<PeerState>,
}

/// A member of a group as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The replica.
    pub replica: ReplicaId,
    /// The last entry that it has acknowledged.
    pub acknowledged: u64,
    /// Whether it answered within the last election timeout.
    pub active: bool,
}

/// A connected relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayState {
    /// The relay, once it has said who it is.
    pub relay: Option<RelayId>,
    /// Where it connects from.
    pub address: SocketAddr,
    /// Agents behind it.
    pub agents: usize,
}

/// An agent behind a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentState {
    /// The agent.
    pub agent: AgentId,
    /// Where it runs.
    pub placement: Placement,
    /// The version that it has put in force.
    pub version: u64,
    /// Time since it was last known to be granted a lease, in milliseconds.
    pub lease_age_ms: u64,
    /// Whether it may hold a lease.
    pub may_hold_lease: bool,
}

/// Adds the replica that listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddReplica {
    /// Its address for internal connections.
    pub address: SocketAddr,
}

/// Removes a replica, or calls off the change that adds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemoveReplica {
    /// The replica.
    pub replica: ReplicaId,
}

/// Puts the replica that listens at an address in the place of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceReplica {
    /// The replica that goes.
    pub old: ReplicaId,
    /// The address for internal connections of the one that joins.
    pub address: SocketAddr,
}

/// Hands a group's leadership over. Ledger groups follow group 0's leader by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransferLeadership {
    /// The group.
    pub group: u32,
    /// The replica that is to lead.
    pub to: ReplicaId,
}

/// The transfer has started; `status` shows when it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferStarted {
    /// The group.
    pub group: u32,
    /// The replica that is to lead.
    pub to: ReplicaId,
}
