//! A replicated log as a pure state machine: messages and ticks in, messages and durable writes out.

mod types;

pub use types::{
    Entry, EntryPayload, HardState, Membership, ReplicaId, Restored, Snapshot, SnapshotMetadata,
};
