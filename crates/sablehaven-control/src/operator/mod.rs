//! The operator interface over HTTP: its request and response bodies, and its handlers.
//!
//! Most calls are answered only by the leader. Another replica responds with status 421 and the leader's address in
//! [`OperatorError::leader`], to which the caller sends the request again. Status 503 means that no leader answered:
//! the caller sends the same command again after [`OperatorError::retry_after_ms`]. Every replica answers `status` and
//! `quotas` about itself, and reads with `unconfirmed=true` from the state that it has applied.

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
