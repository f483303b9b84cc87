//! Tests of the check of a reply's status and headers.

use reqwest::{
    StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use sablehaven_agent::transport::{
    AttemptIdentity, DiscardReason, Refusal, ReplyVerdict, ServerSignals, attempt_headers,
    check_reply_head,
};
use sablehaven_types::{AttemptId, ShardId, SnapshotId, http};

const IDENTITY: AttemptIdentity = AttemptIdentity {
    attempt: AttemptId(71),
    shard: ShardId(5),
    snapshot: SnapshotId {
        generation: 3,
        partition_map: 2,
    },
};

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let value = HeaderValue::from_str(value).expect("a header value");
        (HeaderName::from_static(name), value)
    });
    pairs.collect()
}

fn echo_headers(attempt: &str, shard: &str, snapshot: &str) -> HeaderMap {
    headers(&[
        (http::ATTEMPT, attempt),
        (http::SHARD, shard),
        (http::SNAPSHOT, snapshot),
    ])
}

fn check_head(status: u16, headers: &HeaderMap) -> ReplyVerdict {
    check_reply_head(
        &IDENTITY,
        StatusCode::from_u16(status).expect("a status"),
        headers,
    )
}

#[test]
fn only_a_complete_echo_is_accepted() {
    use DiscardReason::{MissingEcho, WrongAttempt, WrongShard, WrongSnapshot};
    assert_eq!(
        check_head(200, &echo_headers("71", "5", "3.2")),
        ReplyVerdict::Accepted
    );
    for (attempt, shard, snapshot, reason) in [
        ("72", "5", "3.2", WrongAttempt),
        ("71", "6", "3.2", WrongShard),
        ("71", "5", "4.2", WrongSnapshot),
        ("71", "5", "3.3", WrongSnapshot),
        ("71", "5", "3", MissingEcho),
        ("71", "", "3.2", MissingEcho),
        ("x", "5", "3.2", MissingEcho),
        ("72", "6", "4.2", WrongAttempt),
    ] {
        let verdict = check_head(200, &echo_headers(attempt, shard, snapshot));
        assert_eq!(
            verdict,
            ReplyVerdict::Discarded(reason),
            "{attempt} {shard} {snapshot}"
        );
    }
    assert_eq!(
        check_head(200, &HeaderMap::new()),
        ReplyVerdict::Discarded(MissingEcho)
    );
}

#[test]
fn the_headers_of_an_attempt_are_a_valid_echo() {
    let sent = attempt_headers(&IDENTITY, std::time::Duration::from_micros(1_999));
    assert_eq!(check_head(200, &sent), ReplyVerdict::Accepted);
    assert_eq!(sent[http::DEADLINE_MS], "1", "rounded down");
}

#[test]
fn a_refusal_requires_its_status_and_header_and_no_other_attempt_id() {
    for (status, reason, refusal) in [
        (503, http::REFUSED_SHED, Refusal::Shed),
        (503, http::REFUSED_DRAINING, Refusal::Draining),
        (503, http::REFUSED_DEADLINE, Refusal::Deadline),
        (409, http::REFUSED_SNAPSHOT, Refusal::SnapshotGone),
    ] {
        let mut refusal_headers = headers(&[(http::REFUSED, reason)]);
        let refused = |echoed| ReplyVerdict::Refused { refusal, echoed };
        assert_eq!(check_head(status, &refusal_headers), refused(false));
        refusal_headers.insert(http::ATTEMPT, HeaderValue::from_static("71"));
        assert_eq!(check_head(status, &refusal_headers), refused(true));
        refusal_headers.insert(http::ATTEMPT, HeaderValue::from_static("70"));
        let discarded = ReplyVerdict::Discarded(DiscardReason::WrongAttempt);
        assert_eq!(check_head(status, &refusal_headers), discarded);
    }
    let failed = |status| ReplyVerdict::Failed(StatusCode::from_u16(status).expect("a status"));
    assert_eq!(check_head(503, &HeaderMap::new()), failed(503));
    assert_eq!(
        check_head(503, &headers(&[(http::REFUSED, "tired")])),
        failed(503)
    );
    assert_eq!(
        check_head(500, &headers(&[(http::REFUSED, "shed")])),
        failed(500)
    );
}

#[test]
fn invalid_server_signals_are_ignored() {
    let good = headers(&[
        (http::LOAD, "4"),
        (http::LOAD_AGE_MS, "250"),
        (http::INCARNATION, "9"),
        (http::DRAINING, "1"),
    ]);
    let signals = ServerSignals::parse(&good);
    assert_eq!(
        signals.load,
        Some((4, std::time::Duration::from_millis(250)))
    );
    assert_eq!(signals.incarnation, Some(9));
    assert!(signals.draining);
    let bad = headers(&[
        (http::LOAD, "-1"),
        (http::INCARNATION, "x"),
        (http::DRAINING, "no"),
    ]);
    assert_eq!(ServerSignals::parse(&bad), ServerSignals::default());
}
