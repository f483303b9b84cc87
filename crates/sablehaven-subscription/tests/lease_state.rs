//! Tests of the agent's lease, which is valid only once the grant's revision has been applied, and of
//! the observation buffer.

use std::time::Duration;

use sablehaven_subscription::{LeaseState, ObservationBuffer, Renewal};
use sablehaven_types::{Observation, ObservationKind};
use sablehaven_wire::LeaseGrant;

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn grant(nonce: u64, age_ms: u64, revision: u64) -> LeaseGrant {
    LeaseGrant {
        nonce,
        age_ms,
        duration_ms: 3_000,
        revision,
        configuration_version: 1,
    }
}

#[test]
fn a_grant_for_a_later_revision_takes_effect_once_it_is_applied() {
    let mut lease = LeaseState::default();
    let nonce = lease.record_request(milliseconds(0));
    let renewal = lease.accept_grant(&grant(nonce, 0, 12), 11, milliseconds(10));
    assert_eq!(renewal, Renewal::AwaitingRevision);
    assert!(!lease.configuration_age(1, milliseconds(10)).current);
    assert!(!lease.revision_applied(11));
    assert!(lease.revision_applied(12));
    assert!(lease.configuration_age(1, milliseconds(10)).current);
}

#[test]
fn without_a_renewal_the_lease_expires_and_its_age_grows() {
    let mut lease = LeaseState::default();
    assert_eq!(lease.configuration_age(1, milliseconds(5)).age_ms, u64::MAX);
    let nonce = lease.record_request(milliseconds(1_000));
    lease.accept_grant(&grant(nonce, 200, 1), 1, milliseconds(1_005));
    let age = lease.configuration_age(1, milliseconds(1_500));
    assert!(age.current);
    assert_eq!(age.age_ms, 700);
    let age = lease.configuration_age(1, milliseconds(4_000));
    assert!(!age.current);
    assert_eq!(age.age_ms, 3_200);
}

#[test]
fn an_older_proof_confirms_without_shortening_the_lease() {
    let mut lease = LeaseState::default();
    let first = lease.record_request(milliseconds(1_000));
    let second = lease.record_request(milliseconds(1_100));
    let now = milliseconds(1_200);
    assert_eq!(
        lease.accept_grant(&grant(second, 0, 1), 1, now),
        Renewal::Renewed
    );
    let remaining = lease.remaining(now);
    assert_eq!(
        lease.accept_grant(&grant(first, 0, 1), 1, now),
        Renewal::Confirmed
    );
    assert_eq!(lease.remaining(now), remaining);
}

#[test]
fn a_grant_that_expired_in_transit_is_ignored() {
    let mut lease = LeaseState::default();
    let nonce = lease.record_request(milliseconds(0));
    let renewal = lease.accept_grant(&grant(nonce, 0, 1), 1, milliseconds(3_000));
    assert_eq!(renewal, Renewal::Ignored);
}

fn observation(backend: &str, incarnation: u64, kind: ObservationKind) -> Observation {
    Observation {
        backend: backend.into(),
        service: "stock.Search".into(),
        incarnation,
        kind,
    }
}

#[test]
fn observations_are_reported_at_most_once_per_interval_with_the_latest_of_each_back_end() {
    let mut buffer = ObservationBuffer::new(milliseconds(100));
    assert_eq!(buffer.next_due_at(), None);
    buffer.add(observation("depot-1", 1, ObservationKind::Unreachable));
    buffer.add(observation("depot-1", 1, ObservationKind::Reachable));
    let report = buffer.take(milliseconds(5));
    assert_eq!(
        report,
        [observation("depot-1", 1, ObservationKind::Reachable)]
    );
    buffer.add(observation("depot-2", 1, ObservationKind::Unreachable));
    assert_eq!(buffer.next_due_at(), Some(milliseconds(105)));
    assert!(buffer.take(milliseconds(50)).is_empty());
    assert_eq!(buffer.take(milliseconds(105)).len(), 1);
}

#[test]
fn a_draining_observation_is_not_replaced_by_one_of_the_same_or_an_older_incarnation() {
    let mut buffer = ObservationBuffer::new(milliseconds(100));
    buffer.add(observation("depot-1", 2, ObservationKind::Draining));
    buffer.add(observation("depot-1", 2, ObservationKind::Reachable));
    buffer.add(observation("depot-1", 1, ObservationKind::Unreachable));
    let report = buffer.take(milliseconds(0));
    assert_eq!(
        report,
        [observation("depot-1", 2, ObservationKind::Draining)]
    );
}

#[test]
fn pending_observations_and_reports_are_bounded() {
    let mut buffer = ObservationBuffer::new(milliseconds(100));
    for number in 0..10_000 {
        let backend = format!("depot-{number}");
        buffer.add(observation(&backend, 1, ObservationKind::Unreachable));
    }
    assert!(buffer.dropped() > 0);
    assert!(buffer.take(milliseconds(0)).len() <= 256);
}
