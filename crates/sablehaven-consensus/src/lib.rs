//! A replicated log as a pure state machine: messages and ticks in, messages and durable writes out.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, quorum check, read index and
//! one-at-a-time membership change from Ongaro's thesis. Nothing here has a clock, a socket or a
//! global, so many groups can share a process and a simulator can run the same code.

mod config;
mod error;
mod membership_change;
mod message;
mod ready;
mod replica;
mod status;
mod types;

pub use config::Config;
pub use error::{Fault, MembershipError, NotLeader, TransferError};
pub use membership_change::MembershipChange;
pub use message::{AppendResult, Message, Position, SnapshotChunk};
pub use ready::{ReadReady, Ready};
pub use replica::Replica;
pub use status::{PeerStatus, ReplicationState, Role, Status};
pub use types::{
    Entry, EntryPayload, HardState, Membership, ReplicaId, Restored, Snapshot, SnapshotMetadata,
};
