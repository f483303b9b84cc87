//! The operator interface over HTTP: its request and response bodies, and its handlers.
//!
//! Only the leader answers most calls. Another replica responds with status 421 and the leader's address in
//! [`OperatorError::leader`], to which the caller sends the request again. Status 503 means that no leader answered: the
//! caller sends the same command again after [`OperatorError::retry_after_ms`]. Exceptions are `status` and `quotas`,
//! which every replica answers about itself, and reads with `unconfirmed=true`, which return the state that the replica
//! has applied.

mod changes;
mod handlers;
mod reads;
mod types;
mod validity;
mod wait;

pub(crate) use handlers::{CallError, router};
pub use types::{
    AddReplica, AgentBehind, AgentState, ControlStatus, GroupStatus, OperatorError, PeerState,
    QuotaUsage, RelayState, RemoveReplica, ReplaceReplica, ReplicaState, TransferLeadership,
    TransferStarted, WaitReply, paths,
};
