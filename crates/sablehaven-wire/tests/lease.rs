//! Lease arithmetic: a lease never outlasts the proof's duration in true time.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_wire::{LeaseGrant, LeaseProof, LeaseRequests};

const DURATION_MS: u64 = 3_000;

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn grant(nonce: u64, age_ms: u64) -> LeaseGrant {
    LeaseGrant {
        nonce,
        age_ms,
        duration_ms: DURATION_MS,
        revision: 7,
        configuration_version: 3,
    }
}

fn proof(sent_at: Duration, age_ms: u64) -> LeaseProof {
    let mut requests = LeaseRequests::default();
    let nonce = requests.record_request(sent_at);
    requests
        .accept_grant(&grant(nonce, age_ms))
        .expect("an open request")
}

#[test]
fn a_lease_counts_from_the_request_less_the_age() {
    let proof = proof(milliseconds(10_000), 500);
    assert_eq!(proof.age(milliseconds(10_000)), milliseconds(500));
    assert!(proof.is_valid(milliseconds(12_000)));
    assert!(!proof.is_valid(milliseconds(12_500)));
    assert_eq!(proof.remaining(milliseconds(20_000)), Duration::ZERO);
}

#[test]
fn a_grant_without_its_request_counts_for_nothing() {
    let mut requests = LeaseRequests::default();
    let nonce = requests.record_request(milliseconds(1));
    assert!(requests.accept_grant(&grant(nonce + 1, 0)).is_none());
    assert!(requests.accept_grant(&grant(nonce, 0)).is_some());
    assert!(
        requests.accept_grant(&grant(nonce, 0)).is_none(),
        "a duplicate"
    );
}

#[test]
fn requests_without_answers_are_bounded() {
    let mut requests = LeaseRequests::default();
    let first = requests.record_request(milliseconds(0));
    for at in 1..100 {
        requests.record_request(milliseconds(at));
    }
    assert!(requests.accept_grant(&grant(first, 0)).is_none());
}

#[test]
fn an_old_proof_passed_on_gains_no_time() {
    let held = proof(milliseconds(5_000), 100);
    let passed = held.to_grant(1, milliseconds(7_000));
    assert_eq!(passed.age_ms, 2_100);
    assert_eq!(passed.duration_ms, DURATION_MS);
}

#[test]
fn the_newer_of_two_proofs_is_told() {
    let older = proof(milliseconds(5_000), 0);
    let newer = proof(milliseconds(5_600), 500);
    assert!(newer.is_newer_than(&older));
    assert!(!older.is_newer_than(&newer));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x1ea5e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two hops (leader to relay to agent) with any delays and any clock offsets: while the agent
    /// holds the lease, the leader's proof is younger than the duration.
    #[test]
    fn a_lease_never_outlasts_its_proof(
        to_leader in 0u64..4_000,
        from_leader in 0u64..4_000,
        wait_at_relay in 0u64..4_000,
        to_relay in 0u64..4_000,
        from_relay in 0u64..4_000,
        relay_clock in 0u64..1_000_000,
        agent_clock in 0u64..1_000_000,
        later in 0u64..10_000,
    ) {
        let relay_sent = 1_000;
        let proof_made = relay_sent + to_leader;
        let relay_has_it = proof_made + from_leader;
        let mut relay = LeaseRequests::default();
        let nonce = relay.record_request(milliseconds(relay_clock + relay_sent));
        let held = relay.accept_grant(&grant(nonce, 0)).expect("open");

        let relay_receives = relay_has_it + wait_at_relay;
        let agent_sent = relay_receives.saturating_sub(to_relay);
        let mut agent = LeaseRequests::default();
        let nonce = agent.record_request(milliseconds(agent_clock + agent_sent));
        let passed = held.to_grant(nonce, milliseconds(relay_clock + relay_receives));
        let lease = agent.accept_grant(&passed).expect("open");

        let looked_at = relay_receives + from_relay + later;
        if lease.is_valid(milliseconds(agent_clock + looked_at)) {
            prop_assert!(looked_at - proof_made < DURATION_MS);
        }
    }
}
