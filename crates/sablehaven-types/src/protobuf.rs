//! The protobuf encoding of response envelopes, which agents write and generated clients read.
//!
//! `sablehaven/envelope.proto` in `sablehaven-schema` describes the same messages for callers in other languages, and a
//! test in that crate verifies that both agree. The messages are defined by hand here so that clients need no schema
//! compiler.

use crate::{
    ConfigurationAge, Coverage, Envelope, MissingReason, MissingShard, Outcome, ShardId, SnapshotId,
};
use prost::{Enumeration, Message};

/// Why an envelope cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum EnvelopeError {
    /// decode the envelope: {0}
    Decode(prost::DecodeError),
    /// decode the envelope: field '{field}' has the unknown value {value}
    UnknownValue {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: i32,
    },
    /// decode the envelope: field '{0}' is missing
    MissingField(&'static str),
}

/// The protobuf message `sablehaven.Envelope`.
#[derive(Clone, PartialEq, Message)]
pub struct ProtobufEnvelope {
    #[prost(enumeration = "ProtobufOutcome", tag = "1")]
    outcome: i32,
    #[prost(string, optional, tag = "2")]
    reason: Option<String>,
    #[prost(message, optional, tag = "3")]
    snapshot: Option<ProtobufSnapshotId>,
    #[prost(message, optional, tag = "4")]
    coverage: Option<ProtobufCoverage>,
    #[prost(message, optional, tag = "5")]
    configuration: Option<ProtobufConfigurationAge>,
    #[prost(uint64, optional, tag = "6")]
    retry_after_ms: Option<u64>,
    #[prost(bytes = "vec", optional, tag = "7")]
    body: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
enum ProtobufOutcome {
    Unspecified = 0,
    Done = 1,
    NotRun = 2,
    Unknown = 3,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct ProtobufSnapshotId {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(uint64, tag = "2")]
    partition_map: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ProtobufCoverage {
    #[prost(uint32, repeated, tag = "1")]
    answered: Vec<u32>,
    #[prost(message, repeated, tag = "2")]
    missing: Vec<ProtobufMissingShard>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct ProtobufMissingShard {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(enumeration = "ProtobufMissingReason", tag = "2")]
    reason: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
enum ProtobufMissingReason {
    Unspecified = 0,
    Deadline = 1,
    NoReplica = 2,
    Shed = 3,
    Failed = 4,
    SnapshotGone = 5,
    BadReply = 6,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct ProtobufConfigurationAge {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bool, tag = "2")]
    current: bool,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

impl ProtobufEnvelope {
    /// Encodes the envelope.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes an envelope. The body stays encoded.
    ///
    /// # Errors
    /// See [`EnvelopeError`].
    pub fn read(bytes: &[u8]) -> Result<Envelope<Vec<u8>>, EnvelopeError> {
        let envelope = Self::decode(bytes).map_err(EnvelopeError::Decode)?;
        let configuration = envelope
            .configuration
            .ok_or(EnvelopeError::MissingField("configuration"))?;
        Ok(Envelope {
            outcome: read_outcome(envelope.outcome)?,
            reason: envelope.reason,
            snapshot: envelope.snapshot.map(read_snapshot),
            coverage: envelope.coverage.map(read_coverage).transpose()?,
            configuration: ConfigurationAge {
                version: configuration.version,
                current: configuration.current,
                age_ms: configuration.age_ms,
            },
            retry_after_ms: envelope.retry_after_ms,
            body: envelope.body,
        })
    }
}

impl From<Envelope<Vec<u8>>> for ProtobufEnvelope {
    fn from(envelope: Envelope<Vec<u8>>) -> Self {
        Self {
            outcome: write_outcome(envelope.outcome) as i32,
            reason: envelope.reason,
            snapshot: envelope.snapshot.map(|snapshot| ProtobufSnapshotId {
                generation: snapshot.generation,
                partition_map: snapshot.partition_map,
            }),
            coverage: envelope.coverage.as_ref().map(write_coverage),
            configuration: Some(ProtobufConfigurationAge {
                version: envelope.configuration.version,
                current: envelope.configuration.current,
                age_ms: envelope.configuration.age_ms,
            }),
            retry_after_ms: envelope.retry_after_ms,
            body: envelope.body,
        }
    }
}

fn write_outcome(outcome: Outcome) -> ProtobufOutcome {
    match outcome {
        Outcome::Done => ProtobufOutcome::Done,
        Outcome::NotRun => ProtobufOutcome::NotRun,
        Outcome::Unknown => ProtobufOutcome::Unknown,
    }
}

fn read_outcome(value: i32) -> Result<Outcome, EnvelopeError> {
    match ProtobufOutcome::try_from(value) {
        Ok(ProtobufOutcome::Done) => Ok(Outcome::Done),
        Ok(ProtobufOutcome::NotRun) => Ok(Outcome::NotRun),
        Ok(ProtobufOutcome::Unknown) => Ok(Outcome::Unknown),
        Ok(ProtobufOutcome::Unspecified) | Err(_) => Err(EnvelopeError::UnknownValue {
            field: "outcome",
            value,
        }),
    }
}

fn read_snapshot(snapshot: ProtobufSnapshotId) -> SnapshotId {
    SnapshotId {
        generation: snapshot.generation,
        partition_map: snapshot.partition_map,
    }
}

fn write_coverage(coverage: &Coverage) -> ProtobufCoverage {
    let missing = coverage.missing.iter().map(|entry| ProtobufMissingShard {
        shard: entry.shard.0,
        reason: write_reason(entry.reason) as i32,
    });
    ProtobufCoverage {
        answered: coverage.answered.iter().map(|shard| shard.0).collect(),
        missing: missing.collect(),
    }
}

fn read_coverage(coverage: ProtobufCoverage) -> Result<Coverage, EnvelopeError> {
    let missing = coverage.missing.into_iter().map(|entry| {
        Ok(MissingShard {
            shard: ShardId(entry.shard),
            reason: read_reason(entry.reason)?,
        })
    });
    Ok(Coverage {
        answered: coverage.answered.into_iter().map(ShardId).collect(),
        missing: missing.collect::<Result<_, _>>()?,
    })
}

fn write_reason(reason: MissingReason) -> ProtobufMissingReason {
    match reason {
        MissingReason::Deadline => ProtobufMissingReason::Deadline,
        MissingReason::NoReplica => ProtobufMissingReason::NoReplica,
        MissingReason::Shed => ProtobufMissingReason::Shed,
        MissingReason::Failed => ProtobufMissingReason::Failed,
        MissingReason::SnapshotGone => ProtobufMissingReason::SnapshotGone,
        MissingReason::BadReply => ProtobufMissingReason::BadReply,
    }
}

fn read_reason(value: i32) -> Result<MissingReason, EnvelopeError> {
    match ProtobufMissingReason::try_from(value) {
        Ok(ProtobufMissingReason::Deadline) => Ok(MissingReason::Deadline),
        Ok(ProtobufMissingReason::NoReplica) => Ok(MissingReason::NoReplica),
        Ok(ProtobufMissingReason::Shed) => Ok(MissingReason::Shed),
        Ok(ProtobufMissingReason::Failed) => Ok(MissingReason::Failed),
        Ok(ProtobufMissingReason::SnapshotGone) => Ok(MissingReason::SnapshotGone),
        Ok(ProtobufMissingReason::BadReply) => Ok(MissingReason::BadReply),
        Ok(ProtobufMissingReason::Unspecified) | Err(_) => Err(EnvelopeError::UnknownValue {
            field: "reason",
            value,
        }),
    }
}
