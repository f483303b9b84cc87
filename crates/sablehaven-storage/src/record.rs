//! The log's records, encoded as MessagePack.
//!
//! The types here mirror consensus types so that commands are encoded as byte strings;
//! `EntryPayload` itself would encode a command as an array of numbers. Everything else uses the
//! encoding of the consensus types. Any change to the encoding requires a new format version.
//! `tests/format.rs` checks the bytes of version 1.

use std::borrow::Cow;

use sablehaven_consensus::{
    Entry, EntryPayload, HardState, Membership, ReplicaId, SnapshotMetadata,
};
use serde::{Deserialize, Serialize, Serializer};

/// The header of a segment, stored in its first frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SegmentHeader {
    /// The replica that wrote the segment.
    pub(crate) replica: ReplicaId,
    /// The segment's number. Segments are numbered from 1 without gaps.
    pub(crate) number: u64,
    /// The sequence number of the segment's first record. The numbering of records continues across
    /// segments.
    pub(crate) first_sequence: u64,
    /// The state of every group, so that earlier segments can be removed.
    pub(crate) groups: Vec<GroupCheckpoint>,
}

/// The state of a group when a segment was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupCheckpoint {
    pub(crate) group: u32,
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<SnapshotReference>,
    /// The index of the last entry. The entries themselves are in earlier segments.
    pub(crate) last_index: u64,
}

/// Identifies a snapshot file that must exist, with the size and checksum of its data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotReference {
    pub(crate) metadata: SnapshotMetadata,
    pub(crate) data_bytes: u64,
    pub(crate) data_checksum: u32,
}

/// A batch of writes, stored as the payload of one frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record<'a> {
    #[serde(borrow)]
    pub(crate) writes: Vec<RecordWrite<'a>>,
}

/// The writes for one group in a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordWrite<'a> {
    pub(crate) group: u32,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<RecordSnapshot>,
    #[serde(borrow)]
    pub(crate) entries: Vec<RecordEntry<'a>>,
}

/// A snapshot that becomes the current one of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordSnapshot {
    pub(crate) reference: SnapshotReference,
    /// Whether the stored entries after the snapshot's index are kept.
    pub(crate) keeps_later_entries: bool,
}

/// An entry of a group's log, encoded like [`Entry`] except for its payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordEntry<'a> {
    pub(crate) index: u64,
    pub(crate) term: u64,
    #[serde(borrow)]
    pub(crate) payload: RecordPayload<'a>,
}

/// The payload of an entry, with a command as a byte string.
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
