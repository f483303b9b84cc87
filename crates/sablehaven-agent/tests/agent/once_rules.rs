//! Tests of the decisions about at-most-once requests, without I/O.

use std::time::{Duration, Instant};

use bytes::Bytes;
use prost_reflect::{DynamicMessage, Value};
use sablehaven_agent::{
    Reason,
    once::{
        ClaimDecision, ClockReading, DispatchCheck, DispatchDecision, after_claim, after_dispatch,
        fingerprint,
    },
    transport::{AttemptEnd, DiscardReason, Refusal, TransportError},
};
use sablehaven_schema::{DeploymentSchema, decode_json};
use sablehaven_types::{ClaimAnswer, LedgerReply, Outcome, RecordedOutcome};

use crate::support::schema::{FILE, TEXT, service};

const TIME_ALLOWED: Duration = Duration::from_secs(2);

fn dispatch_check(elapsed_monotonic: Duration, elapsed_wall: Duration) -> DispatchCheck {
    let arrived = ClockReading {
        monotonic: Instant::now(),
        wall_ms: 1_000_000,
    };
    let elapsed_wall_ms = u64::try_from(elapsed_wall.as_millis()).expect("short");
    DispatchCheck {
        arrived,
        now: ClockReading {
            monotonic: arrived.monotonic + elapsed_monotonic,
            wall_ms: arrived.wall_ms + elapsed_wall_ms,
        },
        time_allowed: TIME_ALLOWED,
        issued_at_ms: arrived.wall_ms - 10,
        issue_age_limit_ms: 60_000,
        lease_current: true,
    }
}

#[test]
fn only_a_granted_claim_is_dispatched() {
    let answers = [
        ClaimAnswer::Granted,
        ClaimAnswer::Held,
        ClaimAnswer::Settled(RecordedOutcome::Unknown),
        ClaimAnswer::Released,
        ClaimAnswer::Free,
        ClaimAnswer::FingerprintMismatch,
        ClaimAnswer::BelowHorizon { horizon_ms: 1 },
        ClaimAnswer::IssuedInFuture { limit_ms: 1 },
        ClaimAnswer::Full,
    ];
    let others = [
        LedgerReply::Recorded,
        LedgerReply::NotHeld,
        LedgerReply::Unavailable { retry_after_ms: 1 },
    ];
    let replies = answers.map(LedgerReply::Claim).into_iter().chain(others);
    let dispatching: Vec<_> = replies
        .filter(|reply| after_claim(reply.clone()) == ClaimDecision::Dispatch)
        .collect();
    assert_eq!(dispatching, [LedgerReply::Claim(ClaimAnswer::Granted)]);
}

#[test]
fn a_request_that_may_have_run_before_is_unknown() {
    for answer in [
        ClaimAnswer::Held,
        ClaimAnswer::BelowHorizon { horizon_ms: 1 },
    ] {
        let ClaimDecision::Refuse(reason) = after_claim(LedgerReply::Claim(answer)) else {
            panic!("refused");
        };
        assert_eq!(reason.outcome(), Outcome::Unknown);
    }
}

#[test]
fn a_paused_process_does_not_dispatch_whichever_clock_shows_the_pause() {
    let short = Duration::from_millis(5);
    let long = Duration::from_secs(3);
    assert_eq!(dispatch_check(short, short).check(), Ok(()));
    // The process was stopped by a signal: both clocks advanced.
    assert_eq!(
        dispatch_check(long, long).check(),
        Err(Reason::DeadlineBeforeDispatch)
    );
    // The machine was suspended: only the wall clock advanced.
    assert_eq!(
        dispatch_check(short, long).check(),
        Err(Reason::DeadlineBeforeDispatch)
    );
    // The wall clock was set back in the meantime: only the monotonic clock advanced.
    assert_eq!(
        dispatch_check(long, Duration::ZERO).check(),
        Err(Reason::DeadlineBeforeDispatch)
    );
    assert_eq!(
        dispatch_check(TIME_ALLOWED, short).check(),
        Err(Reason::DeadlineBeforeDispatch)
    );
}

#[test]
fn an_old_issue_time_or_a_lost_lease_prevents_the_dispatch() {
    let short = Duration::from_millis(5);
    let mut old = dispatch_check(short, short);
    old.issued_at_ms -= 60_000;
    assert_eq!(old.check(), Err(Reason::IssuedTooLongAgo));
    let mut without_lease = dispatch_check(short, short);
    without_lease.lease_current = false;
    assert_eq!(without_lease.check(), Err(Reason::NoLease));
}

#[test]
fn only_a_failed_connect_or_an_echoed_refusal_is_not_run() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let status = |status| TransportError::Status { address, status };
    let refused = |echoed| AttemptEnd::Refused {
        refusal: Refusal::Shed,
        echoed,
    };
    let not_run = [AttemptEnd::NotConnected(status(0)), refused(true)];
    for end in not_run {
        let decision = after_dispatch(end);
        let DispatchDecision::NotRun(reason) = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(reason.outcome(), Outcome::NotRun);
    }
    let inconclusive = [
        refused(false),
        AttemptEnd::Failed(status(500)),
        AttemptEnd::Discarded(DiscardReason::WrongAttempt),
        AttemptEnd::Discarded(DiscardReason::Truncated),
    ];
    for end in inconclusive {
        let decision = after_dispatch(end);
        assert!(
            matches!(decision, DispatchDecision::Unknown(_)),
            "{decision:?}"
        );
    }
    let body = Bytes::from_static(b"reply");
    let done = after_dispatch(AttemptEnd::Replied(body.clone()));
    assert_eq!(done, DispatchDecision::Done(body));
}

#[test]
fn the_fingerprint_depends_on_method_and_values_but_not_on_the_encoding() {
    let schema = DeploymentSchema::parse(FILE, TEXT).expect("valid");
    let method = schema.method(&service(), "Reserve").expect("Reserve");
    let read =
        |json: &str| decode_json(&method.input, json.as_bytes()).expect("matches the schema");
    let first = read(r#"{ "id": "p", "quantity": 2 }"#);
    let reordered = read(r#"{ "quantity": 2, "id": "p" }"#);
    let mut built = DynamicMessage::new(method.input.clone());
    built.set_field_by_name("quantity", Value::U32(2));
    built.set_field_by_name("id", Value::String("p".to_owned()));
    let expected = fingerprint(&method.path, &first);
    assert_eq!(fingerprint(&method.path, &reordered), expected);
    assert_eq!(fingerprint(&method.path, &built), expected);
    assert_ne!(fingerprint("/test.Stock/Other", &first), expected);
    let other = read(r#"{ "id": "p", "quantity": 3 }"#);
    assert_ne!(fingerprint(&method.path, &other), expected);
}
