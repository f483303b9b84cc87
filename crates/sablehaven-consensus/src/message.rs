//! Messages between the replicas of one group.
//!
//! Every message may be lost, repeated, delayed or overtaken; none does harm when it is.

use serde::{Deserialize, Serialize};

use crate::{Entry, SnapshotMetadata};

/// A place in the log: an index with the term of its entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The index; 0 is the place before the first entry.
    pub index: u64,
    /// The term of the entry there.
    pub term: u64,
}

/// A message from one replica to another of the same group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me? Changes nothing at the receiver.
    PreVote {
        /// The term that the sender would stand in.
        next_term: u64,
        /// The sender's last entry.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The sender's term.
        term: u64,
        /// Echoes the request.
        next_term: u64,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The candidate's term.
        term: u64,
        /// The candidate's last entry.
        last: Position,
        /// Whether the leader itself asked the candidate to stand ([`Message::TimeoutNow`]); voters
        /// then do not wait until they have lost contact with the leader.
        transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// The sender's term.
        term: u64,
        /// Whether the sender voted for the receiver in this term.
        granted: bool,
    },
    /// Append these entries.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first of `entries`.
        previous: Position,
        /// Entries without gaps; may be empty.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// Answers [`Message::Append`], and a snapshot that was installed.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// Whether the entries fitted.
        result: AppendResult,
    },
    /// The leader is there; also a round of the read index.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// Commit index, at most what the receiver has acknowledged.
        commit: u64,
        /// The leader's latest round of the read index.
        round: u64,
    },
    /// Answers [`Message::Heartbeat`].
    HeartbeatReply {
        /// The sender's term.
        term: u64,
        /// Echoes the request.
        round: u64,
    },
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers [`Message::SnapshotChunk`] until the last one, which [`Message::AppendReply`] answers
    /// after the snapshot's sync.
    SnapshotChunkReply {
        /// The sender's term.
        term: u64,
        /// Echoes the chunk.
        transfer: u64,
        /// Bytes that the sender has from the start without a gap: where to go on.
        received: u64,
    },
    /// The leader asks the receiver to stand for election at once.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The sender's log equals the leader's up to this index, and is synced up to it.
    Matched {
        /// The index.
        index: u64,
    },
    /// The sender has no such entry before the appended ones.
    Mismatch {
        /// Index of [`Message::Append`]'s `previous`.
        rejected: u64,
        /// The last place at which the sender's log may equal the leader's.
        hint: Position,
    },
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// Names the snapshot among those that this leader sends in this term.
    pub transfer: u64,
    /// Where the snapshot stands.
    pub metadata: SnapshotMetadata,
    /// The whole snapshot's length, in bytes.
    pub total_bytes: u64,
    /// Where `data` starts, in bytes.
    pub offset: u64,
    /// The part.
    pub data: Vec<u8>,
}

impl Message {
    /// The sender's term; the term before the one asked for in [`Message::PreVote`].
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
