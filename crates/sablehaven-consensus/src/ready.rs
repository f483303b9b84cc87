//! What a replica wants done.

use crate::{Entry, Fault, HardState, Message, ReplicaId, Snapshot};

/// A read that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadReady {
    /// The caller's token.
    pub token: u64,
    /// The read is linearizable once the state machine has applied this index.
    pub index: u64,
}

/// What a replica wants done, in this order:
///
/// 1. send `messages_before_sync` (any time);
/// 2. write `hard_state`, `snapshot` and `entries`, and sync them;
/// 3. call [`crate::Replica::persisted`] with `number`;
/// 4. send `messages_after_sync`;
/// 5. apply `snapshot`, or `committed`, to the state machine; answer reads.
///
/// Later readies may be taken before an earlier one is synced, but writes must reach the disk in
/// order, and messages after a sync wait for the sync of their own and of every earlier ready.
/// Otherwise a vote or an acknowledgement could be forgotten in a crash, and a committed entry lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Counts the readies of this replica, from 1.
    pub number: u64,
    /// Messages that promise nothing about this replica's disk.
    pub messages_before_sync: Vec<(ReplicaId, Message)>,
    /// To be written, where it changed.
    pub hard_state: Option<HardState>,
    /// To be installed: replaces the whole log and the state machine. `entries` follow it, and
    /// `committed` is empty.
    pub snapshot: Option<Snapshot>,
    /// To be written; replace what the log holds from the first one's index on.
    pub entries: Vec<Entry>,
    /// Votes, acknowledgements and requests for votes.
    pub messages_after_sync: Vec<(ReplicaId, Message)>,
    /// Entries to be applied, in order; all are committed and synced on this replica.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once their index is applied.
    pub reads: Vec<ReadReady>,
    /// Tokens of reads that were refused because this replica stopped leading.
    pub refused_reads: Vec<u64>,
    /// Whether a follower needs a snapshot: call [`crate::Replica::provide_snapshot`].
    pub needs_snapshot: bool,
    /// A broken invariant; the replica takes no further part and must be stopped.
    pub fault: Option<Fault>,
}

impl Ready {
    /// Whether there is something to write and sync.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        let nothing_new = Self {
            number: self.number,
            needs_snapshot: self.needs_snapshot,
            ..Self::default()
        };
        *self == nothing_new
    }
}
