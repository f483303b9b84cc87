//! The writes that a caller passes to storage.

use sablehaven_consensus::{Entry, HardState, Snapshot};

/// The writes for one group in a batch. A batch contains each group at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupWrite {
    /// The consensus group.
    pub group: u32,
    /// The new hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// Entries without gaps. They replace all stored entries from the index of the first one on.
    pub entries: Vec<Entry>,
    /// A snapshot received from the leader, which must be newer than the stored one. It is applied
    /// before `entries`. The stored entries that it covers are dropped. Later stored entries are
    /// kept only if the stored entry at the snapshot's index has the snapshot's term.
    pub snapshot: Option<Snapshot>,
}
