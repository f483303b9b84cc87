//! Reasons why an answer carries no reply, with the outcome and HTTP status of each.

use sablehaven_http::NoMemoryLeft;
use sablehaven_schema::{BodyError, MergeError};
use sablehaven_types::{MissingReason, Outcome};
use salvo::http::StatusCode;

use crate::transport::Refusal;

/// Why an answer carries no reply. The display text is sent as `reason` in the envelope.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Reason {
    /// the agent has no configuration yet
    NotReady,
    /// no method at path '{0}' in the configuration in force, or no service of it in this agent's interest
    UnknownMethod(String),
    /// content type '{0}' is neither application/json nor application/x-protobuf
    UnsupportedContentType(String),
    /// the body is larger than {limit_bytes} bytes, or could not be read: {cause}
    BodyUnreadable {
        /// Maximum size of a request body, in bytes.
        limit_bytes: usize,
        /// The error of the HTTP library.
        cause: String,
    },
    /// the request has not run: {0}
    NoMemoryLeft(NoMemoryLeft),
    /// the body does not fit the schema: {0}
    InvalidBody(BodyError),
    /// header '{0}' is required for this method
    MissingHeader(&'static str),
    /// header '{name}' is '{value}', allowed is {allowed}
    InvalidHeader {
        /// The name of the header.
        name: &'static str,
        /// The value sent by the caller.
        value: String,
        /// A description of the allowed values.
        allowed: &'static str,
    },
    /// the service is pressed
    Overloaded,
    /// the request has crashed back ends and is not sent to any for a while
    Quarantined,
    /// this agent cannot prove that its configuration is current
    NoLease,
    /// the request ledger did not answer in time
    LedgerUnavailable,
    /// the request ledger is full
    LedgerFull,
    /// the issue time lies too far in the future; the latest accepted is {limit_ms} ms since the epoch
    IssuedInFuture {
        /// The latest accepted issue time, in milliseconds since the Unix epoch.
        limit_ms: u64,
    },
    /// the issue time lies too far in the past to run the request now
    IssuedTooLongAgo,
    /// the request id was used with another method or body
    RequestIdReused,
    /// the deadline passed before the request was sent to a back end
    DeadlineBeforeDispatch,
    /// the back end refused before it started: {0:?}
    BackendRefused(Refusal),
    /// no connection to the back end could be opened
    NotConnected,
    /// no replica of the shard can be asked: {0:?}
    NoReplica(MissingReason),
    /// no shard answered, and nothing ran: {0:?}
    NoShardRan(MissingReason),
    /// no shard answered: {0:?}
    NoShardReplied(MissingReason),
    /// the shards' replies could not be merged: {0}
    MergeFailed(MergeError),
    /// the request is in progress, or its agent was lost with it
    InProgress,
    /// the issue time lies below the ledger's horizon; whether the request ran is no longer known
    BelowLedgerHorizon,
    /// the request was sent to a back end, and whether it ran is not known
    SentWithoutReply,
    /// the request was sent before, and its outcome cannot be looked up now: {0}
    ResendOutcomeUnknown(Box<Reason>),
    /// the recorded reply does not fit the schema in force: {0}
    RecordedReplyUnreadable(BodyError),
}

impl Reason {
    /// Returns the outcome of a request that ends with this reason.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NoShardReplied(_)
            | Self::MergeFailed(_)
            | Self::InProgress
            | Self::BelowLedgerHorizon
            | Self::SentWithoutReply
            | Self::ResendOutcomeUnknown(_) => Outcome::Unknown,
            Self::RecordedReplyUnreadable(_) => Outcome::Done,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownMethod(_) => StatusCode::NOT_FOUND,
            Self::UnsupportedContentType(_) => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Self::BodyUnreadable { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::InvalidBody(_)
            | Self::MissingHeader(_)
            | Self::InvalidHeader { .. }
            | Self::IssuedInFuture { .. } => StatusCode::BAD_REQUEST,
            Self::IssuedTooLongAgo | Self::RequestIdReused => StatusCode::CONFLICT,
            Self::MergeFailed(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::RecordedReplyUnreadable(_) => StatusCode::OK,
            _ => match self.outcome() {
                Outcome::Done => StatusCode::OK,
                Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
                Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
            },
        }
    }

    /// Returns the reason to report for a resend. A refusal with the outcome `NotRun` applies to the
    /// resend only; the earlier request may have run, so the outcome becomes `Unknown`.
    pub fn for_resend(self) -> Self {
        match self.outcome() {
            Outcome::NotRun => Self::ResendOutcomeUnknown(Box::new(self)),
            Outcome::Done | Outcome::Unknown => self,
        }
    }
}
