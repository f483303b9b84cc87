//! What a caller writes.

use sablehaven_consensus::{Entry, HardState, Snapshot};

/// The writes for one group in a batch. A batch holds a group at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupWrite {
    /// The group.
    pub group: u32,
    /// The new hard state, where it changed.
    pub hard_state: Option<HardState>,
    /// Entries without gaps; they replace everything stored from the first one's index on.
    pub entries: Vec<Entry>,
    /// A snapshot received from the leader, newer than the stored one. It comes before `entries`:
    /// stored entries up to it are dropped, and the later ones too unless the stored entry at its
    /// index has its term.
    pub snapshot: Option<Snapshot>,
}
