//! The request ledger: at most one granted claim per key, immutable outcomes, the horizon and the size limits.

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

fn apply_request(state: &mut LedgerState, now_ms: u64, request: LedgerRequest) -> LedgerReply {
    state.apply(now_ms, &LIMITS, &[request]).remove(0)
}

#[test]
fn one_claim_holds_a_key_and_is_granted_again_when_resent() {
    let mut state = LedgerState::default();
    let granted = LedgerReply::Claim(ClaimAnswer::Granted);
    let held = LedgerReply::Claim(ClaimAnswer::Held);
    assert_eq!(
        apply_request(&mut state, 5_000, claim(key(1, 5_000), 1)),
        granted
    );
    assert_eq!(
        apply_request(&mut state, 5_000, claim(key(1, 5_000), 2)),
        held
    );
    assert_eq!(
        apply_request(&mut state, 5_000, claim(key(1, 5_000), 1)),
        granted
    );
}

#[test]
fn a_recorded_outcome_does_not_change() {
    let mut state = LedgerState::default();
    apply_request(&mut state, 5_000, claim(key(1, 5_000), 1));
    let recorded = apply_request(&mut state, 5_000, settle(key(1, 5_000), 1, b"first"));
    assert_eq!(recorded, LedgerReply::Recorded);
    let again = apply_request(&mut state, 5_000, settle(key(1, 5_000), 1, b"second"));
    assert_eq!(again, LedgerReply::Recorded);
    let other = apply_request(&mut state, 5_000, settle(key(1, 5_000), 2, b"third"));
    assert_eq!(other, LedgerReply::NotHeld);
    let first = RecordedOutcome::Done {
        body: b"first".to_vec(),
    };
    let answer = apply_request(&mut state, 5_000, claim(key(1, 5_000), 3));
    assert_eq!(answer, LedgerReply::Claim(ClaimAnswer::Settled(first)));
}

#[test]
fn a_released_claim_is_not_granted_again_but_another_claim_is() {
    let mut state = LedgerState::default();
    apply_request(&mut state, 5_000, claim(key(1, 5_000), 1));
    let released = apply_request(&mut state, 5_000, release(key(1, 5_000), 1));
    assert_eq!(released, LedgerReply::Recorded);
    let resent = apply_request(&mut state, 5_000, claim(key(1, 5_000), 1));
    assert_eq!(resent, LedgerReply::Claim(ClaimAnswer::Released));
    let next = apply_request(&mut state, 5_000, claim(key(1, 5_000), 2));
    assert_eq!(next, LedgerReply::Claim(ClaimAnswer::Granted));
    let stale = apply_request(&mut state, 5_000, release(key(1, 5_000), 3));
    assert_eq!(stale, LedgerReply::NotHeld);
}

#[test]
fn a_different_body_under_the_same_key_is_refused() {
    let mut state = LedgerState::default();
    apply_request(&mut state, 5_000, claim(key(1, 5_000), 1));
    let mut other = claim(key(1, 5_000), 2);
    if let LedgerRequest::Claim { fingerprint, .. } = &mut other {
        *fingerprint = 8;
    }
    let answer = apply_request(&mut state, 5_000, other);
    assert_eq!(answer, LedgerReply::Claim(ClaimAnswer::FingerprintMismatch));
}

#[test]
fn issue_times_outside_the_accepted_window_are_refused() {
    let mut state = LedgerState::default();
    apply_request(&mut state, 5_000, claim(key(1, 5_000), 1));
    let old = apply_request(&mut state, 5_000, claim(key(2, 3_999), 2));
    let below = ClaimAnswer::BelowHorizon { horizon_ms: 4_000 };
    assert_eq!(old, LedgerReply::Claim(below.clone()));
    let future = apply_request(&mut state, 5_000, claim(key(3, 5_101), 3));
    let ahead = ClaimAnswer::IssuedInFuture { limit_ms: 5_100 };
    assert_eq!(future, LedgerReply::Claim(ahead));
    // A proposer whose clock is behind moves neither the ledger's clock nor its horizon back.
    let behind = apply_request(&mut state, 1, claim(key(2, 3_999), 4));
    assert_eq!(behind, LedgerReply::Claim(below));
}

#[test]
fn a_held_key_is_kept_until_the_horizon_passes_it() {
    let mut state = LedgerState::default();
    apply_request(&mut state, 5_000, claim(key(1, 5_000), 1));
    let at_horizon = apply_request(&mut state, 6_000, claim(key(1, 5_000), 2));
    assert_eq!(at_horizon, LedgerReply::Claim(ClaimAnswer::Held));
    let expired = apply_request(&mut state, 6_001, claim(key(1, 5_000), 2));
    let below = ClaimAnswer::BelowHorizon { horizon_ms: 5_001 };
    assert_eq!(expired, LedgerReply::Claim(below));
    assert!(state.is_empty());
    let late = apply_request(&mut state, 6_001, settle(key(1, 5_000), 1, b"late"));
    assert_eq!(late, LedgerReply::NotHeld);
}

#[test]
fn a_full_ledger_refuses_new_keys_and_still_answers_for_known_ones() {
    let mut state = LedgerState::default();
    for request in 0..8 {
        apply_request(&mut state, 5_000, claim(key(request, 5_000), request));
    }
    let full = apply_request(&mut state, 5_000, claim(key(9, 5_000), 9));
    assert_eq!(full, LedgerReply::Claim(ClaimAnswer::Full));
    let known = apply_request(&mut state, 5_000, claim(key(3, 5_000), 77));
    assert_eq!(known, LedgerReply::Claim(ClaimAnswer::Held));
}

#[test]
fn outcomes_with_bodies_over_the_limits_are_recorded_as_unknown() {
    let mut state = LedgerState::default();
    for request in 0..4 {
        apply_request(&mut state, 5_000, claim(key(request, 5_000), request));
    }
    apply_request(&mut state, 5_000, settle(key(0, 5_000), 0, &[0; 11]));
    apply_request(&mut state, 5_000, settle(key(1, 5_000), 1, &[0; 10]));
    apply_request(&mut state, 5_000, settle(key(2, 5_000), 2, &[0; 10]));
    apply_request(&mut state, 5_000, settle(key(3, 5_000), 3, &[0; 10]));
    let unknown = LedgerReply::Claim(ClaimAnswer::Settled(RecordedOutcome::Unknown));
    let look_up = |key| LedgerRequest::LookUp { key };
    assert_eq!(
        apply_request(&mut state, 5_000, look_up(key(0, 5_000))),
        unknown
    );
    assert_eq!(
        apply_request(&mut state, 5_000, look_up(key(3, 5_000))),
        unknown
    );
    assert_eq!(state.body_bytes(), 20);
    apply_request(&mut state, 9_000, look_up(key(0, 5_000)));
    assert_eq!(state.body_bytes(), 0);
}

#[test]
fn a_new_ledger_refuses_keys_issued_before_it_was_opened() {
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
    // An `Open` command from another leader has no effect on a ledger that is already open.
    state.apply_command(&open(90_000));
    let unchanged = claim_at(&mut state, key(2, 50_000), 3);
    assert_eq!(unchanged, LedgerReply::Claim(ClaimAnswer::Held));
}

#[test]
fn keys_are_distributed_over_the_groups() {
    let mut counts = BTreeMap::new();
    for request in 0..4_000 {
        let group = group_of_key(&key(request, 1), 4);
        *counts.entry(group).or_insert(0) += 1;
    }
    assert_eq!(counts.keys().copied().collect::<Vec<u32>>(), [1, 2, 3, 4]);
    assert!(counts.values().all(|count| *count > 800), "{counts:?}");
}

#[derive(Clone, Debug)]
enum Operation {
    Claim { request: u64, claim: u64 },
    Settle { request: u64, claim: u64 },
    Release { request: u64, claim: u64 },
    AdvanceClock(u64),
    Restart,
}

fn operation() -> impl Strategy<Value = Operation> {
    let request = 0_u64..4;
    let id = 0_u64..6;
    prop_oneof![
        4 => (request.clone(), id.clone()).prop_map(|(request, claim)| Operation::Claim { request, claim }),
        2 => (request.clone(), id.clone()).prop_map(|(request, claim)| Operation::Settle { request, claim }),
        1 => (request, id).prop_map(|(request, claim)| Operation::Release { request, claim }),
        1 => (1_u64..900).prop_map(Operation::AdvanceClock),
        1 => Just(Operation::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    })]

    /// For any order of claims, settlements, releases, restarts and clock advances: between two
    /// releases of a key by its holder, at most one claim is ever granted, and none after the key is
    /// settled.
    #[test]
    fn a_key_is_dispatched_at_most_once(operations in prop::collection::vec(operation(), 1..120)) {
        let mut state = LedgerState::default();
        let mut now_ms = 5_000;
        let mut holder: BTreeMap<u64, u64> = BTreeMap::new();
        let mut settled: BTreeSet<u64> = BTreeSet::new();
        for operation in operations {
            match operation {
                Operation::Claim { request, claim: id } => {
                    let reply = apply_request(&mut state, now_ms, claim(key(request, 5_000), id));
                    if reply == LedgerReply::Claim(ClaimAnswer::Granted) {
                        let first = *holder.entry(request).or_insert(id);
                        prop_assert_eq!(first, id);
                        prop_assert!(!settled.contains(&request));
                    }
                }
                Operation::Settle { request, claim } => {
                    let reply = apply_request(
                        &mut state,
                        now_ms,
                        settle(key(request, 5_000), claim, b"x"),
                    );
                    if reply == LedgerReply::Recorded {
                        prop_assert_eq!(holder.get(&request), Some(&claim));
                        settled.insert(request);
                    }
                }
                Operation::Release { request, claim } => {
                    let reply = apply_request(&mut state, now_ms, release(key(request, 5_000), claim));
                    if reply == LedgerReply::Recorded && holder.get(&request) == Some(&claim) {
                        prop_assert!(!settled.contains(&request));
                        holder.remove(&request);
                    }
                }
                Operation::AdvanceClock(elapsed_ms) => now_ms += elapsed_ms,
                Operation::Restart => {
                    let data = state.snapshot().expect("encode");
                    let restored = LedgerState::restore(&data).expect("decode");
                    prop_assert_eq!(&restored, &state);
                    state = restored;
                }
            }
        }
    }
}
