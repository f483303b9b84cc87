//! The envelope as protobuf (`sablehaven/envelope.proto`), for callers that ask for
//! [`crate::http::CONTENT_TYPE_PROTOBUF`].

use prost::{Message, bytes::Bytes};

use crate::{
    ConfigurationAge, Coverage, Envelope, MissingReason, MissingShard, Outcome, ShardId, SnapshotId,
};

/// An envelope that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum EnvelopeError {
    /// read the envelope of an answer: {0}
    Decode(#[from] prost::DecodeError),
}

/// Writes an envelope; its body is the method's reply as protobuf.
pub fn encode_envelope(envelope: &Envelope<Bytes>) -> Vec<u8> {
    EnvelopeMessage::from(envelope).encode_to_vec()
}

/// Reads an envelope.
///
/// An outcome that this version does not know is taken for [`Outcome::Unknown`], a reason for
/// [`MissingReason::Failed`]: both promise nothing.
pub fn decode_envelope(bytes: Bytes) -> Result<Envelope<Bytes>, EnvelopeError> {
    let message = EnvelopeMessage::decode(bytes)?;
    Ok(Envelope::from(message))
}

#[derive(Clone, PartialEq, Message)]
struct EnvelopeMessage {
    #[prost(enumeration = "OutcomeNumber", tag = "1")]
    outcome: i32,
    #[prost(string, optional, tag = "2")]
    reason: Option<String>,
    #[prost(message, optional, tag = "3")]
    snapshot: Option<SnapshotMessage>,
    #[prost(message, optional, tag = "4")]
    coverage: Option<CoverageMessage>,
    #[prost(message, optional, tag = "5")]
    configuration: Option<ConfigurationAgeMessage>,
    #[prost(uint64, optional, tag = "6")]
    retry_after_ms: Option<u64>,
    #[prost(bytes = "bytes", optional, tag = "7")]
    body: Option<Bytes>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum OutcomeNumber {
    Unspecified = 0,
    Done = 1,
    NotRun = 2,
    Unknown = 3,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct SnapshotMessage {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(uint64, tag = "2")]
    partition_map: u64,
}

#[derive(Clone, PartialEq, Message)]
struct CoverageMessage {
    #[prost(uint32, repeated, tag = "1")]
    answered: Vec<u32>,
    #[prost(message, repeated, tag = "2")]
    missing: Vec<MissingShardMessage>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct MissingShardMessage {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(enumeration = "MissingReasonNumber", tag = "2")]
    reason: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum MissingReasonNumber {
    Unspecified = 0,
    Deadline = 1,
    NoReplica = 2,
    Shed = 3,
    Failed = 4,
    SnapshotGone = 5,
    BadReply = 6,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct ConfigurationAgeMessage {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bool, tag = "2")]
    current: bool,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

impl From<&Envelope<Bytes>> for EnvelopeMessage {
    fn from(envelope: &Envelope<Bytes>) -> Self {
        Self {
            outcome: OutcomeNumber::from(envelope.outcome).into(),
            reason: envelope.reason.clone(),
            snapshot: envelope.snapshot.map(SnapshotMessage::from),
            coverage: envelope.coverage.as_ref().map(CoverageMessage::from),
            configuration: Some(ConfigurationAgeMessage::from(envelope.configuration)),
            retry_after_ms: envelope.retry_after_ms,
            body: envelope.body.clone(),
        }
    }
}

impl From<EnvelopeMessage> for Envelope<Bytes> {
    fn from(message: EnvelopeMessage) -> Self {
        Self {
            outcome: message.outcome().into(),
            reason: message.reason,
            snapshot: message.snapshot.map(SnapshotId::from),
            coverage: message.coverage.map(Coverage::from),
            configuration: message.configuration.unwrap_or_default().into(),
            retry_after_ms: message.retry_after_ms,
            body: message.body,
        }
    }
}

impl From<Outcome> for OutcomeNumber {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done => Self::Done,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<OutcomeNumber> for Outcome {
    fn from(number: OutcomeNumber) -> Self {
        match number {
            OutcomeNumber::Done => Self::Done,
            OutcomeNumber::NotRun => Self::NotRun,
            OutcomeNumber::Unknown | OutcomeNumber::Unspecified => Self::Unknown,
        }
    }
}

impl From<SnapshotId> for SnapshotMessage {
    fn from(id: SnapshotId) -> Self {
        Self {
            generation: id.generation,
            partition_map: id.partition_map,
        }
    }
}

impl From<SnapshotMessage> for SnapshotId {
    fn from(message: SnapshotMessage) -> Self {
        Self {
            generation: message.generation,
            partition_map: message.partition_map,
        }
    }
}

impl From<&Coverage> for CoverageMessage {
    fn from(coverage: &Coverage) -> Self {
        let missing = coverage.missing.iter().map(|missing| MissingShardMessage {
            shard: missing.shard.0,
            reason: MissingReasonNumber::from(missing.reason).into(),
        });
        Self {
            answered: coverage.answered.iter().map(|shard| shard.0).collect(),
            missing: missing.collect(),
        }
    }
}

impl From<CoverageMessage> for Coverage {
    fn from(message: CoverageMessage) -> Self {
        let missing = message.missing.iter().map(|missing| MissingShard {
            shard: ShardId(missing.shard),
            reason: missing.reason().into(),
        });
        Self {
            answered: message.answered.iter().copied().map(ShardId).collect(),
            missing: missing.collect(),
        }
    }
}

impl From<MissingReason> for MissingReasonNumber {
    fn from(reason: MissingReason) -> Self {
        match reason {
            MissingReason::Deadline => Self::Deadline,
            MissingReason::NoReplica => Self::NoReplica,
            MissingReason::Shed => Self::Shed,
            MissingReason::Failed => Self::Failed,
            MissingReason::SnapshotGone => Self::SnapshotGone,
            MissingReason::BadReply => Self::BadReply,
        }
    }
}

impl From<MissingReasonNumber> for MissingReason {
    fn from(number: MissingReasonNumber) -> Self {
        match number {
            MissingReasonNumber::Deadline => Self::Deadline,
            MissingReasonNumber::NoReplica => Self::NoReplica,
            MissingReasonNumber::Shed => Self::Shed,
            MissingReasonNumber::Failed | MissingReasonNumber::Unspecified => Self::Failed,
            MissingReasonNumber::SnapshotGone => Self::SnapshotGone,
            MissingReasonNumber::BadReply => Self::BadReply,
        }
    }
}

impl From<ConfigurationAge> for ConfigurationAgeMessage {
    fn from(age: ConfigurationAge) -> Self {
        Self {
            version: age.version,
            current: age.current,
            age_ms: age.age_ms,
        }
    }
}

impl From<ConfigurationAgeMessage> for ConfigurationAge {
    fn from(message: ConfigurationAgeMessage) -> Self {
        Self {
            version: message.version,
            current: message.current,
            age_ms: message.age_ms,
        }
    }
}
