//! Judging the head of a back end's reply. Pure: headers in, verdict out.
//!
//! A reply belongs to an attempt only if it echoes the attempt's id, its shard and its snapshot.
//! Anything else is discarded, whatever its status: a reply meant for another attempt must neither
//! fill this answer nor refuse this request.

use std::{str::FromStr, time::Duration};

use reqwest::{
    StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use sablehaven_types::{AttemptId, LedgerKey, ShardId, SnapshotId, http};

/// What a reply must echo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptIdentity {
    /// The attempt, random and unique.
    pub attempt: AttemptId,
    /// The shard that is asked.
    pub shard: ShardId,
    /// The snapshot that the request pinned.
    pub snapshot: SnapshotId,
}

/// Why a reply was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiscardReason {
    /// It arrived after the deadline.
    Late,
    /// It does not echo attempt, shard and snapshot.
    MissingEcho,
    /// It answers another attempt: swapped, duplicated or from an earlier request.
    WrongAttempt,
    /// It answers for another shard.
    WrongShard,
    /// It was made from another snapshot.
    WrongSnapshot,
    /// Its body ended early.
    Truncated,
    /// Its body is larger than allowed.
    TooLarge,
    /// Its body is not the method's reply message.
    Undecodable,
}

impl DiscardReason {
    /// The reason's name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::MissingEcho => "missing_echo",
            Self::WrongAttempt => "wrong_attempt",
            Self::WrongShard => "wrong_shard",
            Self::WrongSnapshot => "wrong_snapshot",
            Self::Truncated => "truncated",
            Self::TooLarge => "too_large",
            Self::Undecodable => "undecodable",
        }
    }
}

/// Why a back end refused an attempt before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It is pressed.
    Shed,
    /// It drains.
    Draining,
    /// It does not hold the pinned snapshot.
    SnapshotGone,
    /// The deadline had passed.
    Deadline,
}

/// The verdict on a reply's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// The reply belongs to the attempt; its body is worth reading.
    Accepted,
    /// The back end says that it did not start.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Whether the refusal echoes the attempt's id. One that does not may belong to another
        /// attempt, so it proves nothing about a request that may not be repeated.
        echoed: bool,
    },
    /// The reply belongs elsewhere.
    Discarded(DiscardReason),
    /// Another status; whether the attempt ran is not known.
    Failed(StatusCode),
}

/// Judges a reply's status and headers.
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

/// What a reply's headers tell about the server, whatever became of the attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSignals {
    /// Requests running and queued, with the age of the count.
    pub load: Option<(u32, Duration)>,
    /// The server's start number.
    pub incarnation: Option<u64>,
    /// Whether the server drains.
    pub draining: bool,
}

impl ServerSignals {
    /// Reads the signals; a header that is absent or unreadable counts as not given.
    pub fn read(headers: &HeaderMap) -> Self {
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

/// The headers that name an attempt towards a back end.
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

/// A value that HTTP/2's header compression does not keep: one that differs each time would push the
/// values that repeat out of its table.
fn never_indexed(number: u64) -> HeaderValue {
    let mut value = HeaderValue::from(number);
    value.set_sensitive(true);
    value
}

/// Adds the headers that name a request in the ledger, so that a back end can keep its own record.
pub fn insert_ledger_key(headers: &mut HeaderMap, key: &LedgerKey) {
    // Both texts came in as header values, so they are valid ones.
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
    // Digits and one dot are always a valid header value.
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Rounded down, so that a back end never believes in more time than there is.
fn round_down_to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn parse_header<Value: FromStr>(headers: &HeaderMap, name: &str) -> Option<Value> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
