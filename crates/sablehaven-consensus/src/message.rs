//! Messages between the replicas of one group.
//!
//! Any message may be lost, repeated, delayed or reordered without harm.

use serde::{Deserialize, Serialize};

use crate::{Entry, SnapshotMetadata};

/// A position in the log: an index and the term of its entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The index; 0 is the position before the first entry.
    pub index: u64,
    /// The term of the entry at this index.
    pub term: u64,
}

/// A message from one replica to another of the same group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender. Changes no state of the receiver.
    PreVote {
        /// The term in which the sender would be a candidate.
        next_term: u64,
        /// The sender's last entry.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The sender's term.
        term: u64,
        /// The `next_term` of the request.
        next_term: u64,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The candidate's term.
        term: u64,
        /// The candidate's last entry.
        last: Position,
        /// Whether the leader itself asked the candidate to start the election
        /// ([`Message::TimeoutNow`]). Voters then do not ignore the request if they are in
        /// contact with the leader.
        transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// The sender's term.
        term: u64,
        /// Whether the sender voted for the receiver in this term.
        granted: bool,
    },
    /// Appends entries to the receiver's log.
    Append {
        /// The leader's term.
        term: u64,
        /// The position before the first of `entries`.
        previous: Position,
        /// Consecutive entries; may be empty.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// Answers [`Message::Append`], and [`Message::SnapshotChunk`] once the snapshot is installed or
    /// no longer needed.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// Whether the entries were appended.
        result: AppendResult,
    },
    /// Shows that the leader is alive, and asks for confirmation of a read index round.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// The commit index, but at most the last index that the receiver has acknowledged.
        commit: u64,
        /// The leader's latest read index round.
        round: u64,
    },
    /// Answers [`Message::Heartbeat`].
    HeartbeatReply {
        /// The sender's term.
        term: u64,
        /// The round of the heartbeat.
        round: u64,
    },
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers every [`Message::SnapshotChunk`] but the last one, which [`Message::AppendReply`]
    /// answers after the snapshot is synced.
    SnapshotChunkReply {
        /// The sender's term.
        term: u64,
        /// The transfer of the chunk.
        transfer: u64,
        /// Number of consecutive bytes that the sender has from the start. The next chunk starts
        /// there.
        received: u64,
    },
    /// Asks the receiver, on behalf of the leader, to start an election at once.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The sender's log is synced, and equal to the leader's, up to this index.
    Matched {
        /// The index.
        index: u64,
    },
    /// The sender's log does not contain the position before the appended entries.
    Mismatch {
        /// The index of `previous` in [`Message::Append`].
        rejected: u64,
        /// The last position at which the sender's log may be equal to the leader's.
        hint: Position,
    },
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// Number of the transfer, which identifies the snapshot among those of this leader in this
    /// term.
    pub transfer: u64,
    /// The metadata of the snapshot.
    pub metadata: SnapshotMetadata,
    /// The size of the whole snapshot, in bytes.
    pub total_bytes: u64,
    /// The offset of `data` in the snapshot, in bytes.
    pub offset: u64,
    /// The bytes of this part.
    pub data: Vec<u8>,
}

impl Message {
    /// Returns the sender's term. For [`Message::PreVote`], returns the term before the requested
    /// one.
    pub fn term(&self) -> u64 {
        match self {
            Self::PreVote { next_term, .. } => next_term.saturating_sub(1),
            Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::SnapshotChunk(SnapshotChunk { term, .. })
            | Self::SnapshotChunkReply { term, .. }
            | Self::TimeoutNow { term } => *term,
        }
    }
}
