//! The ledger: at most one grant, first outcomes, horizon and bounds.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_control::ledger::{LedgerCommand, LedgerLimits, LedgerState, group_of_key};
use sablehaven_types::{
    ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome,
};

const LIMITS: LedgerLimits = LedgerLimits {
    retention_ms: 1_000,
    future_ms: 100,
    entries: 8,
    body_bytes: 10,
    total_body_bytes: 25,
};

fn key(request: u64, issued_at_ms: u64) -> LedgerKey {
    LedgerKey {
        caller: "pantry".into(),
        request: format!("request-{request}").into(),
        issued_at_ms,
    }
}

fn claim(key: LedgerKey, claim: u64) -> LedgerRequest {
    LedgerRequest::Claim {
        key,
        claim: ClaimId(claim),
        fingerprint: 7,
    }
}

fn settle(key: LedgerKey, claim: u64, body: &[u8]) -> LedgerRequest {
    LedgerRequest::Settle {
        key,
        claim: ClaimId(claim),
        outcome: RecordedOutcome::Done {
            body: body.to_vec(),
        },
    }
}

fn release(key: LedgerKey, claim: u64) -> LedgerRequest {
    LedgerRequest::Release {
        key,
        claim: ClaimId(claim),
    }
}

fn ask(state: &mut LedgerState, now_ms: u64, request: LedgerRequest) -> LedgerReply {
    state.apply(now_ms, &LIMITS, &[request]).remove(0)
}

#[test]
fn one_claim_holds_a_key_and_its_resend_is_granted_again() {
    let mut state = LedgerState::default();
    let granted = LedgerReply::Claim(ClaimAnswer::Granted);
    let held = LedgerReply::Claim(ClaimAnswer::Held);
    assert_eq!(ask(&mut state, 5_000, claim(key(1, 5_000), 1)), granted);
    assert_eq!(ask(&mut state, 5_000, claim(key(1, 5_000), 2)), held);
    assert_eq!(ask(&mut state, 5_000, claim(key(1, 5_000), 1)), granted);
}

#[test]
fn the_first_outcome_stays() {
    let mut state = LedgerState::default();
    ask(&mut state, 5_000, claim(key(1, 5_000), 1));
    let recorded = ask(&mut state, 5_000, settle(key(1, 5_000), 1, b"first"));
    assert_eq!(recorded, LedgerReply::Recorded);
    let again = ask(&mut state, 5_000, settle(key(1, 5_000), 1, b"second"));
    assert_eq!(again, LedgerReply::Recorded);
    let other = ask(&mut state, 5_000, settle(key(1, 5_000), 2, b"third"));
    assert_eq!(other, LedgerReply::NotHeld);
    let first = RecordedOutcome::Done {
        body: b"first".to_vec(),
    };
    let answer = ask(&mut state, 5_000, claim(key(1, 5_000), 3));
    assert_eq!(answer, LedgerReply::Claim(ClaimAnswer::Settled(first)));
}

#[test]
fn a_released_claim_may_not_dispatch_and_another_may() {
    let mut state = LedgerState::default();
    ask(&mut state, 5_000, claim(key(1, 5_000), 1));
    let given_back = ask(&mut state, 5_000, release(key(1, 5_000), 1));
    assert_eq!(given_back, LedgerReply::Recorded);
    let late = ask(&mut state, 5_000, claim(key(1, 5_000), 1));
    assert_eq!(late, LedgerReply::Claim(ClaimAnswer::Released));
    let next = ask(&mut state, 5_000, claim(key(1, 5_000), 2));
    assert_eq!(next, LedgerReply::Claim(ClaimAnswer::Granted));
    let stale = ask(&mut state, 5_000, release(key(1, 5_000), 3));
    assert_eq!(stale, LedgerReply::NotHeld);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut state = LedgerState::default();
    ask(&mut state, 5_000, claim(key(1, 5_000), 1));
    let mut other = claim(key(1, 5_000), 2);
    if let LedgerRequest::Claim { fingerprint, .. } = &mut other {
        *fingerprint = 8;
    }
    let answer = ask(&mut state, 5_000, other);
    assert_eq!(answer, LedgerReply::Claim(ClaimAnswer::FingerprintMismatch));
}

#[test]
fn issue_times_outside_the_window_are_refused() {
    let mut state = LedgerState::default();
    ask(&mut state, 5_000, claim(key(1, 5_000), 1));
    let old = ask(&mut state, 5_000, claim(key(2, 3_999), 2));
    let below = ClaimAnswer::BelowHorizon { horizon_ms: 4_000 };
    assert_eq!(old, LedgerReply::Claim(below.clone()));
    let future = ask(&mut state, 5_000, claim(key(3, 5_101), 3));
    let ahead = ClaimAnswer::IssuedInFuture { limit_ms: 5_100 };
    assert_eq!(future, LedgerReply::Claim(ahead));
    // A proposer whose clock lies behind moves neither clock nor horizon back.
    let slow = ask(&mut state, 1, claim(key(2, 3_999), 4));
    assert_eq!(slow, LedgerReply::Claim(below));
}

#[test]
fn a_held_key_stays_until_the_horizon_passes_it() {
    let mut state = LedgerState::default();
    ask(&mut state, 5_000, claim(key(1, 5_000), 1));
    let still = ask(&mut state, 6_000, claim(key(1, 5_000), 2));
    assert_eq!(still, LedgerReply::Claim(ClaimAnswer::Held));
    let gone = ask(&mut state, 6_001, claim(key(1, 5_000), 2));
    let below = ClaimAnswer::BelowHorizon { horizon_ms: 5_001 };
    assert_eq!(gone, LedgerReply::Claim(below));
    assert!(state.is_empty());
    let late = ask(&mut state, 6_001, settle(key(1, 5_000), 1, b"late"));
    assert_eq!(late, LedgerReply::NotHeld);
}

#[test]
fn a_full_ledger_refuses_new_keys_and_still_answers_for_old_ones() {
    let mut state = LedgerState::default();
    for request in 0..8 {
        ask(&mut state, 5_000, claim(key(request, 5_000), request));
    }
    let full = ask(&mut state, 5_000, claim(key(9, 5_000), 9));
    assert_eq!(full, LedgerReply::Claim(ClaimAnswer::Full));
    let known = ask(&mut state, 5_000, claim(key(3, 5_000), 77));
    assert_eq!(known, LedgerReply::Claim(ClaimAnswer::Held));
}

#[test]
fn bodies_over_the_limits_are_recorded_as_unknown() {
    let mut state = LedgerState::default();
    for request in 0..4 {
        ask(&mut state, 5_000, claim(key(request, 5_000), request));
    }
    ask(&mut state, 5_000, settle(key(0, 5_000), 0, &[0; 11]));
    ask(&mut state, 5_000, settle(key(1, 5_000), 1, &[0; 10]));
    ask(&mut state, 5_000, settle(key(2, 5_000), 2, &[0; 10]));
    ask(&mut state, 5_000, settle(key(3, 5_000), 3, &[0; 10]));
    let unknown = LedgerReply::Claim(ClaimAnswer::Settled(RecordedOutcome::Unknown));
    let look_up = |key| LedgerRequest::LookUp { key };
    assert_eq!(ask(&mut state, 5_000, look_up(key(0, 5_000))), unknown);
    assert_eq!(ask(&mut state, 5_000, look_up(key(3, 5_000))), unknown);
    assert_eq!(state.body_bytes(), 20);
    ask(&mut state, 9_000, look_up(key(0, 5_000)));
    assert_eq!(state.body_bytes(), 0);
}

#[test]
fn a_new_ledger_refuses_what_was_issued_before_it_was_opened() {
    let mut state = LedgerState::default();
    let limits = LedgerLimits {
        retention_ms: 3_600_000,
        ..LIMITS
    };
    let claim_at = |state: &mut LedgerState, key, id| {
        let replies = state.apply(50_001, &limits, &[claim(key, id)]);
        replies[0].clone()
    };
    let open = |proposed_at_ms| LedgerCommand::Open { proposed_at_ms };
    state.apply_command(&open(50_000));
    let old = claim_at(&mut state, key(1, 48_999), 1);
    let below = ClaimAnswer::BelowHorizon { horizon_ms: 49_000 };
    assert_eq!(old, LedgerReply::Claim(below));
    let new = claim_at(&mut state, key(2, 50_000), 2);
    assert_eq!(new, LedgerReply::Claim(ClaimAnswer::Granted));
    // Another leader's opening comes too late to mean anything.
    state.apply_command(&open(90_000));
    let still = claim_at(&mut state, key(2, 50_000), 3);
    assert_eq!(still, LedgerReply::Claim(ClaimAnswer::Held));
}

#[test]
fn keys_are_spread_over_the_groups() {
    let mut counts = BTreeMap::new();
    for request in 0..4_000 {
        let group = group_of_key(&key(request, 1), 4);
        *counts.entry(group).or_insert(0) += 1;
    }
    assert_eq!(counts.keys().copied().collect::<Vec<u32>>(), [1, 2, 3, 4]);
    assert!(counts.values().all(|count| *count > 800), "{counts:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Claim { request: u64, claim: u64 },
    Settle { request: u64, claim: u64 },
    Release { request: u64, claim: u64 },
    Wait(u64),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let request = 0_u64..4;
    let id = 0_u64..6;
    prop_oneof![
        4 => (request.clone(), id.clone()).prop_map(|(request, claim)| Step::Claim { request, claim }),
        2 => (request.clone(), id.clone()).prop_map(|(request, claim)| Step::Settle { request, claim }),
        1 => (request, id).prop_map(|(request, claim)| Step::Release { request, claim }),
        1 => (1_u64..900).prop_map(Step::Wait),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    })]

    /// Whatever the order of claims, settlements, releases, restarts and time: between two
    /// releases of a key by its holder, only one claim is ever granted, for good.
    #[test]
    fn a_key_is_dispatched_at_most_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut state = LedgerState::default();
        let mut now_ms = 5_000;
        let mut holder: BTreeMap<u64, u64> = BTreeMap::new();
        let mut settled: BTreeSet<u64> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Claim { request, claim: id } => {
                    let reply = ask(&mut state, now_ms, claim(key(request, 5_000), id));
                    if reply == LedgerReply::Claim(ClaimAnswer::Granted) {
                        let first = *holder.entry(request).or_insert(id);
                        prop_assert_eq!(first, id);
                        prop_assert!(!settled.contains(&request));
                    }
                }
                Step::Settle { request, claim } => {
                    let reply = ask(&mut state, now_ms, settle(key(request, 5_000), claim, b"x"));
                    if reply == LedgerReply::Recorded {
                        prop_assert_eq!(holder.get(&request), Some(&claim));
                        settled.insert(request);
                    }
                }
                Step::Release { request, claim } => {
                    let reply = ask(&mut state, now_ms, release(key(request, 5_000), claim));
                    if reply == LedgerReply::Recorded && holder.get(&request) == Some(&claim) {
                        prop_assert!(!settled.contains(&request));
                        holder.remove(&request);
                    }
                }
                Step::Wait(elapsed) => now_ms += elapsed,
                Step::Restart => {
                    let data = state.snapshot().expect("encode");
                    let restored = LedgerState::restore(&data).expect("decode");
                    prop_assert_eq!(&restored, &state);
                    state = restored;
                }
            }
        }
    }
}
