//! The work that a replica hands to its caller.

use crate::{Entry, Fault, HardState, Message, ReplicaId, Snapshot};

/// A read that was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadReady {
    /// The caller's token.
    pub token: u64,
    /// The read is linearizable once the state machine has applied this index.
    pub index: u64,
}

/// The work that a replica hands to its caller, to be done in this order:
///
/// 1. send `messages_before_sync` (allowed at any time);
/// 2. write `hard_state`, `snapshot` and `entries`, and sync them;
/// 3. call [`crate::Replica::persisted`] with `number`;
/// 4. send `messages_after_sync`;
/// 5. apply `snapshot`, or `committed`, to the state machine; answer reads.
///
/// Later readies may be taken before an earlier one is synced. However, writes must reach the disk
/// in order, and `messages_after_sync` must wait until their own ready and every earlier one are
/// synced. Otherwise a crash could lose a vote or an acknowledgement that was already sent, and
/// with it a committed entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// The number of this ready, counted from 1 for each replica.
    pub number: u64,
    /// Messages that do not depend on this replica's disk.
    pub messages_before_sync: Vec<(ReplicaId, Message)>,
    /// The hard state to write, if it changed.
    pub hard_state: Option<HardState>,
    /// The snapshot to install, which replaces the whole log and the state machine. `entries`
    /// follow it, and `committed` is empty.
    pub snapshot: Option<Snapshot>,
    /// The entries to write. They replace the entries in the log from the first one's index on.
    pub entries: Vec<Entry>,
    /// Votes, acknowledgements and vote requests.
    pub messages_after_sync: Vec<(ReplicaId, Message)>,
    /// The entries to apply, in order. All are committed, and synced on this replica.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once their index is applied.
    pub reads: Vec<ReadReady>,
    /// Tokens of reads that were refused because this replica is no longer the leader.
    pub refused_reads: Vec<u64>,
    /// Whether a follower needs a snapshot, which the caller provides with
    /// [`crate::Replica::provide_snapshot`].
    pub needs_snapshot: bool,
    /// A broken invariant. The replica no longer participates and must be stopped.
    pub fault: Option<Fault>,
}

impl Ready {
    /// Returns whether there is something to write and sync.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        let nothing_new = Self {
            number: self.number,
            needs_snapshot: self.needs_snapshot,
            ..Self::default()
        };
        *self == nothing_new
    }
}
