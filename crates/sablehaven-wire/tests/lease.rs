//! Tests of the lease arithmetic: in real time, a lease never lasts longer than its duration, counted from the proof.

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
        .expect("the request is pending")
}

#[test]
fn the_age_of_a_proof_is_the_time_since_the_request_plus_the_granted_age() {
    let proof = proof(milliseconds(10_000), 500);
    assert_eq!(proof.age(milliseconds(10_000)), milliseconds(500));
    assert!(proof.is_valid(milliseconds(12_000)));
    assert!(!proof.is_valid(milliseconds(12_500)));
    assert_eq!(proof.remaining(milliseconds(20_000)), Duration::ZERO);
}

#[test]
fn a_grant_without_a_pending_request_is_ignored() {
    let mut requests = LeaseRequests::default();
    let nonce = requests.record_request(milliseconds(1));
    assert!(requests.accept_grant(&grant(nonce + 1, 0)).is_none());
    assert!(requests.accept_grant(&grant(nonce, 0)).is_some());
    assert!(
        requests.accept_grant(&grant(nonce, 0)).is_none(),
        "duplicate grant"
    );
}

#[test]
fn the_number_of_pending_requests_is_bounded() {
    let mut requests = LeaseRequests::default();
    let first = requests.record_request(milliseconds(0));
    for at in 1..100 {
        requests.record_request(milliseconds(at));
    }
    assert!(requests.accept_grant(&grant(first, 0)).is_none());
}

#[test]
fn forwarding_a_proof_does_not_extend_the_lease() {
    let held = proof(milliseconds(5_000), 100);
    let forwarded = held.to_grant(1, milliseconds(7_000));
    assert_eq!(forwarded.age_ms, 2_100);
    assert_eq!(forwarded.duration_ms, DURATION_MS);
}

#[test]
fn is_newer_than_compares_the_times_of_the_proofs() {
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

    /// A proof takes two hops, from the leader to a relay and from there to an agent, with arbitrary
    /// delays and clock offsets. While the agent holds the lease, the leader's proof must be younger
    /// than the lease duration.
    #[test]
    fn a_lease_never_outlasts_its_proof(
        relay_to_leader_ms in 0u64..4_000,
        leader_to_relay_ms in 0u64..4_000,
        relay_wait_ms in 0u64..4_000,
        agent_to_relay_ms in 0u64..4_000,
        relay_to_agent_ms in 0u64..4_000,
        relay_clock_offset_ms in 0u64..1_000_000,
        agent_clock_offset_ms in 0u64..1_000_000,
        check_delay_ms in 0u64..10_000,
    ) {
        let relay_sent_at = 1_000;
        let proof_made_at = relay_sent_at + relay_to_leader_ms;
        let relay_received_proof_at = proof_made_at + leader_to_relay_ms;
        let mut relay = LeaseRequests::default();
        let nonce = relay.record_request(milliseconds(relay_clock_offset_ms + relay_sent_at));
        let held = relay.accept_grant(&grant(nonce, 0)).expect("the request is pending");

        let relay_received_request_at = relay_received_proof_at + relay_wait_ms;
        let agent_sent_at = relay_received_request_at.saturating_sub(agent_to_relay_ms);
        let mut agent = LeaseRequests::default();
        let nonce = agent.record_request(milliseconds(agent_clock_offset_ms + agent_sent_at));
        let forwarded = held.to_grant(nonce, milliseconds(relay_clock_offset_ms + relay_received_request_at));
        let lease = agent.accept_grant(&forwarded).expect("the request is pending");

        let checked_at = relay_received_request_at + relay_to_agent_ms + check_delay_ms;
        if lease.is_valid(milliseconds(agent_clock_offset_ms + checked_at)) {
            prop_assert!(checked_at - proof_made_at < DURATION_MS);
        }
    }
}
