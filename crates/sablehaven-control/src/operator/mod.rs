//! The operators' interface over HTTP: what its bodies look like, and the handlers.
//!
//! Every call but `status` is answered by the leader only; another replica answers 421 with
//! [`OperatorError::leader`], and the caller goes there. 503 means that no leader answered: the
//! caller comes back after [`OperatorError::retry_after_ms`] and sends the same command again.

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
