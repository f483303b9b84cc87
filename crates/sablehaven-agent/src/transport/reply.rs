//! Checks the status and headers of replies from back ends. No I/O.
//!
//! A reply belongs to an attempt only if it echoes the attempt's id, shard and snapshot. A successful
//! reply that does not echo all three is discarded, and so is a reply of any status that echoes the id
//! of another attempt: such a reply must neither become part of the answer nor count as a refusal of
//! the request.

use std::{str::FromStr, time::Duration};

use reqwest::{
    StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use sablehaven_types::{AttemptId, LedgerKey, ShardId, SnapshotId, http};

/// The identifiers of an attempt, which the reply must echo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptIdentity {
    /// The random, unique id of the attempt.
    pub attempt: AttemptId,
    /// The shard that the attempt is sent to.
    pub shard: ShardId,
    /// The snapshot pinned by the request.
    pub snapshot: SnapshotId,
}

/// Why a reply was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiscardReason {
    /// The reply arrived after the deadline for accepting it.
    Late,
    /// The reply does not echo attempt, shard and snapshot.
    MissingEcho,
    /// The reply belongs to another attempt: it was swapped, duplicated or sent for an earlier request.
    WrongAttempt,
    /// The reply is for another shard.
    WrongShard,
    /// The reply is from another snapshot.
    WrongSnapshot,
    /// The body is incomplete.
    Truncated,
    /// The body exceeds the size limit.
    TooLarge,
    /// No memory is left for the body.
    NoMemoryLeft,
    /// The body is not a valid reply message of the method.
    Undecodable,
}

impl DiscardReason {
    /// Returns the value of the `reason` label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::MissingEcho => "missing_echo",
            Self::WrongAttempt => "wrong_attempt",
            Self::WrongShard => "wrong_shard",
            Self::WrongSnapshot => "wrong_snapshot",
            Self::Truncated => "truncated",
            Self::TooLarge => "too_large",
            Self::NoMemoryLeft => "no_memory_left",
            Self::Undecodable => "undecodable",
        }
    }
}

/// Why a back end refused an attempt before starting it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The back end is overloaded.
    Shed,
    /// The back end is draining.
    Draining,
    /// The back end does not hold the pinned snapshot.
    SnapshotGone,
    /// The deadline had passed.
    Deadline,
}

/// The result of checking the status and headers of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// The reply belongs to the attempt; its body can be read.
    Accepted,
    /// The back end refused the attempt before starting it.
    Refused {
        /// Why the back end refused.
        refusal: Refusal,
        /// Whether the refusal echoes the id of the attempt. If not, it may belong to another attempt
        /// and does not prove that an at-most-once request did not run.
        echoed: bool,
    },
    /// The reply does not belong to the attempt.
    Discarded(DiscardReason),
    /// Any other status; it is not known whether the attempt ran.
    Failed(StatusCode),
}

/// Checks the status and headers of a reply.
pub fn check_reply_head(
    identity: &AttemptIdentity,
    status: StatusCode,
    headers: &HeaderMap,
) -> ReplyVerdict {
    let attempt = parse_header(headers, http::ATTEMPT).map(AttemptId);
    if attempt.is_some_and(|attempt| attempt != identity.attempt) {
        return ReplyVerdict::Discarded(DiscardReason::WrongAttempt);
    }
    if status == StatusCode::OK {
        return check_echo(identity, attempt, headers);
    }
    match refusal(status, headers) {
        Some(refusal) => ReplyVerdict::Refused {
            refusal,
            echoed: attempt.is_some(),
        },
        None => ReplyVerdict::Failed(status),
    }
}

fn check_echo(
    identity: &AttemptIdentity,
    attempt: Option<AttemptId>,
    headers: &HeaderMap,
) -> ReplyVerdict {
    let shard = parse_header(headers, http::SHARD).map(ShardId);
    let snapshot = parse_header::<SnapshotId>(headers, http::SNAPSHOT);
    let (Some(_), Some(shard), Some(snapshot)) = (attempt, shard, snapshot) else {
        return ReplyVerdict::Discarded(DiscardReason::MissingEcho);
    };
    if shard != identity.shard {
        return ReplyVerdict::Discarded(DiscardReason::WrongShard);
    }
    if snapshot != identity.snapshot {
        return ReplyVerdict::Discarded(DiscardReason::WrongSnapshot);
    }
    ReplyVerdict::Accepted
}

fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
    if status != StatusCode::SERVICE_UNAVAILABLE && status != StatusCode::CONFLICT {
        return None;
    }
    match headers.get(http::REFUSED)?.to_str().ok()? {
        http::REFUSED_SHED => Some(Refusal::Shed),
        http::REFUSED_DRAINING => Some(Refusal::Draining),
        http::REFUSED_SNAPSHOT => Some(Refusal::SnapshotGone),
        http::REFUSED_DEADLINE => Some(Refusal::Deadline),
        _ => None,
    }
}

/// What a server reports about itself in the headers of a reply, whatever the result of the attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSignals {
    /// The number of running and queued requests, and the age of that number.
    pub load: Option<(u32, Duration)>,
    /// The incarnation of the server, a number that changes with each start.
    pub incarnation: Option<u64>,
    /// Whether the server is draining.
    pub draining: bool,
}

impl ServerSignals {
    /// Reads the signals. Invalid headers are treated as absent.
    pub fn parse(headers: &HeaderMap) -> Self {
        let age = parse_header(headers, http::LOAD_AGE_MS).unwrap_or(0);
        let load = parse_header(headers, http::LOAD);
        Self {
            load: load.map(|running_and_queued| (running_and_queued, Duration::from_millis(age))),
            incarnation: parse_header(headers, http::INCARNATION),
            draining: headers
                .get(http::DRAINING)
                .is_some_and(|value| value.as_bytes() == b"1"),
        }
    }
}

/// Returns the headers of the request for an attempt.
pub fn attempt_headers(identity: &AttemptIdentity, remaining: Duration) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(5);
    let mut insert = |name: &'static str, value: HeaderValue| {
        headers.insert(HeaderName::from_static(name), value);
    };
    insert(http::ATTEMPT, never_indexed(identity.attempt.0));
    insert(http::SHARD, HeaderValue::from(identity.shard.0));
    insert(http::SNAPSHOT, snapshot_value(identity.snapshot));
    insert(
        http::DEADLINE_MS,
        never_indexed(round_down_to_ms(remaining)),
    );
    insert(
        "content-type",
        HeaderValue::from_static(http::CONTENT_TYPE_PROTOBUF),
    );
    headers
}

/// Creates a value that the HTTP/2 header compression does not put into its dynamic table. Values that
/// differ in each request would evict the repeated ones from the table.
fn never_indexed(number: u64) -> HeaderValue {
    let mut value = HeaderValue::from(number);
    value.set_sensitive(true);
    value
}

/// Inserts the headers that identify a request in the ledger, so that a back end can keep its own
/// record of requests.
pub fn insert_ledger_key(headers: &mut HeaderMap, key: &LedgerKey) {
    // Both texts were received as header values, so they are valid.
    let texts = [
        (http::CALLER, key.caller.as_str()),
        (http::REQUEST_ID, key.request.as_str()),
    ];
    for (name, text) in texts {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    let issued_at = HeaderValue::from(key.issued_at_ms);
    headers.insert(HeaderName::from_static(http::ISSUED_AT_MS), issued_at);
}

fn snapshot_value(snapshot: SnapshotId) -> HeaderValue {
    let text = snapshot.to_string();
    // The text consists of digits and one dot, which is always a valid header value.
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Converts to milliseconds, rounded down so that a back end never gets more time than is left.
fn round_down_to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn parse_header<Value: FromStr>(headers: &HeaderMap, name: &str) -> Option<Value> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
