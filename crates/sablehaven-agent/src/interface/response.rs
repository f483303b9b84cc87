//! Encoding of answers as HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use sablehaven_schema::{encode_json, encode_protobuf, envelope::ProtobufEnvelope};
use sablehaven_types::{ConfigurationAge, Envelope};
use salvo::http::StatusCode;

use super::request::Encoding;
use crate::answer::Answer;

/// An encoded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The content type.
    pub content_type: &'static str,
    /// The value of the `retry-after` header, in whole seconds.
    pub retry_after_seconds: Option<u64>,
    /// The encoded envelope.
    pub body: Bytes,
}

/// Encodes an answer.
pub fn encode_answer(
    answer: Answer,
    configuration: ConfigurationAge,
    encoding: Encoding,
) -> EncodedAnswer {
    let status = match &answer.reason {
        Some(reason) => reason.status(),
        None => StatusCode::OK,
    };
    let retry_after_seconds = answer.retry_after.map(round_up_to_seconds);
    let body = match encoding {
        Encoding::Json => encode_as_json(answer, configuration),
        Encoding::Protobuf => encode_as_protobuf(answer, configuration),
    };
    EncodedAnswer {
        status,
        content_type: encoding.content_type(),
        retry_after_seconds,
        body: Bytes::from(body),
    }
}

fn encode_as_json(answer: Answer, configuration: ConfigurationAge) -> Vec<u8> {
    let mut reason = answer.reason.as_ref().map(ToString::to_string);
    let body = match answer.body.as_ref().map(encode_json) {
        Some(Ok(body)) => Some(body),
        Some(Err(error)) => {
            reason = Some(format!("the reply cannot be written as JSON: {error}"));
            None
        }
        None => None,
    };
    let envelope = build_envelope(answer, configuration, reason, body);
    // Serialization cannot fail: the envelope consists of strings, numbers and a JSON value.
    serde_json::to_vec(&envelope).unwrap_or_default()
}

fn encode_as_protobuf(answer: Answer, configuration: ConfigurationAge) -> Vec<u8> {
    let reason = answer.reason.as_ref().map(ToString::to_string);
    let body = answer.body.as_ref().map(encode_protobuf);
    let envelope = build_envelope(answer, configuration, reason, body);
    ProtobufEnvelope::from(envelope).to_bytes()
}

fn build_envelope<Body>(
    answer: Answer,
    configuration: ConfigurationAge,
    reason: Option<String>,
    body: Option<Body>,
) -> Envelope<Body> {
    Envelope {
        outcome: answer.outcome,
        reason,
        snapshot: answer.snapshot,
        coverage: answer.coverage,
        configuration,
        retry_after_ms: answer.retry_after.map(round_up_to_ms),
        body,
    }
}

/// Converts to milliseconds, rounded up so that a caller never retries too early.
fn round_up_to_ms(duration: Duration) -> u64 {
    let milliseconds = duration.as_nanos().div_ceil(1_000_000);
    u64::try_from(milliseconds).unwrap_or(u64::MAX)
}

fn round_up_to_seconds(duration: Duration) -> u64 {
    round_up_to_ms(duration).div_ceil(1_000)
}
