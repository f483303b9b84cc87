//! A replicated log as a pure state machine: its inputs are messages and ticks, its outputs are
//! messages and durable writes.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check quorum, read index and
//! single-server membership changes from Ongaro's thesis. The crate uses no clock, sockets or
//! global state, so many groups can share a process, and a simulator can run the same code.

mod broken;
mod config;
mod durability;
mod election;
mod error;
mod leadership_transfer;
mod leading;
mod log;
mod membership_change;
mod membership_history;
mod message;
mod outbox;
mod progress;
mod read_index;
mod ready;
mod replica;
mod replication;
mod snapshot_transfer;
mod status;
mod types;

#[cfg(feature = "broken-variants")]
pub use broken::BrokenVariant;

pub use config::Config;
pub use error::{Fault, MembershipError, NotLeader, TransferError};
pub use membership_change::MembershipChange;
pub use message::{AppendResult, Message, Position, SnapshotChunk};
pub use ready::{ReadReady, Ready};
pub use replica::Replica;
pub use status::{PeerStatus, ReplicationState, Role, Status};
pub use types::{
    Entry, EntryPayload, HardState, Membership, PersistentState, ReplicaId, Snapshot,
    SnapshotMetadata,
};
