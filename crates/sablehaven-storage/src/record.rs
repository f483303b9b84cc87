//! What the log's records hold, as MessagePack.
//!
//! Commands are encoded as byte strings, which `EntryPayload`'s own encoding (an array of numbers)
//! is not; everything else keeps the encoding of the consensus types. A change to either is a new
//! format version; `tests/format.rs` reads a folder of version 1 byte by byte.

use std::borrow::Cow;

use sablehaven_consensus::{
    Entry, EntryPayload, HardState, Membership, ReplicaId, SnapshotMetadata,
};
use serde::{Deserialize, Serialize, Serializer};

/// The first frame of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SegmentHeader {
    /// The disk that wrote it.
    pub(crate) replica: ReplicaId,
    /// Segments are numbered from 1 without gaps.
    pub(crate) number: u64,
    /// The sequence number of its first record; records are numbered through all segments.
    pub(crate) first_sequence: u64,
    /// Where every group stood, so that earlier segments can go.
    pub(crate) groups: Vec<GroupCheckpoint>,
}

/// Where a group stood when a segment began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupCheckpoint {
    pub(crate) group: u32,
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<SnapshotReference>,
    /// The last entry's index; the entries themselves are in earlier segments.
    pub(crate) last_index: u64,
}

/// Which snapshot file must exist, and what must be in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotReference {
    pub(crate) metadata: SnapshotMetadata,
    pub(crate) data_bytes: u64,
    pub(crate) data_checksum: u32,
}

/// One batch; the payload of one frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record<'a> {
    #[serde(borrow)]
    pub(crate) writes: Vec<RecordWrite<'a>>,
}

/// One group's part of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordWrite<'a> {
    pub(crate) group: u32,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<RecordSnapshot>,
    #[serde(borrow)]
    pub(crate) entries: Vec<RecordEntry<'a>>,
}

/// A snapshot that comes into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordSnapshot {
    pub(crate) reference: SnapshotReference,
    /// Whether the stored entries after the snapshot's index stay.
    pub(crate) keeps_later_entries: bool,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordEntry<'a> {
    pub(crate) index: u64,
    pub(crate) term: u64,
    #[serde(borrow)]
    pub(crate) payload: RecordPayload<'a>,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RecordPayload<'a> {
    Empty,
    Command(#[serde(borrow, serialize_with = "serialize_bytes")] &'a [u8]),
    Membership(Cow<'a, Membership>),
}

fn serialize_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

impl<'a> From<&'a Entry> for RecordEntry<'a> {
    fn from(entry: &'a Entry) -> Self {
        let payload = match &entry.payload {
            EntryPayload::Empty => RecordPayload::Empty,
            EntryPayload::Command(command) => RecordPayload::Command(command),
            EntryPayload::Membership(members) => RecordPayload::Membership(Cow::Borrowed(members)),
        };
        Self {
            index: entry.index,
            term: entry.term,
            payload,
        }
    }
}

impl From<&RecordEntry<'_>> for Entry {
    fn from(entry: &RecordEntry<'_>) -> Self {
        let payload = match &entry.payload {
            RecordPayload::Empty => EntryPayload::Empty,
            RecordPayload::Command(command) => EntryPayload::Command(command.to_vec()),
            RecordPayload::Membership(members) => {
                EntryPayload::Membership(members.clone().into_owned())
            }
        };
        Self {
            index: entry.index,
            term: entry.term,
            payload,
        }
    }
}
