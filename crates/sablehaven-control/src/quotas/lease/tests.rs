//! Tests of the lease's duration and renewal, and simulations of a group with faults and membership changes.

mod simulation;

use simulation::{BrokenRule, ONE_BUCKET, simulate};

use super::*;

const PATIENCE: Duration = Duration::from_millis(4_000);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a lease lasts: `PATIENCE` less the allowed clock drift.
const LEASE_MS: u64 = 3_960;
const MEMBERSHIP_INDEX: u64 = 5;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Replica 1 before its first probe. The second probe's number wraps around.
fn new_lease() -> PartLease {
    PartLease::new(
        ReplicaId(1),
        LeaseLimits::new(PATIENCE, ELECTION_TIMEOUT),
        u64::MAX - 1,
    )
}

/// A lease that a leader granted for a probe sent at this time.
fn granted_lease(sent_at_ms: u64) -> PartLease {
    let mut lease = new_lease();
    let number = lease.start_probe(at(sent_at_ms));
    lease.record_grant(number);
    lease
}

/// The view of a member that hears no leader, in a group of this many voters.
fn leaderless_view(members: u64) -> GroupView {
    let voters = (1..=members).map(ReplicaId).collect();
    GroupView {
        is_leaderless: true,
        is_settled: true,
        membership: Membership {
            voters,
            ..Membership::default()
        },
        membership_index: MEMBERSHIP_INDEX,
    }
}

/// Sends a probe, which these members answer at these times by saying that they hear no leader.
fn probe_without_leader(
    lease: &mut PartLease,
    sent_at_ms: u64,
    answers: &[(u64, u64)],
    own_view: &GroupView,
) {
    let number = lease.start_probe(at(sent_at_ms));
    for (member, answered_at_ms) in answers {
        lease.record_leaderless(
            at(*answered_at_ms),
            number,
            ReplicaId(*member),
            MEMBERSHIP_INDEX,
            own_view,
        );
    }
}

#[test]
fn a_replica_starts_without_a_lease() {
    assert!(!new_lease().is_valid(at(0)));
    let mut lease = new_lease();
    probe_without_leader(&mut lease, 0, &[(2, 10), (3, 10)], &leaderless_view(6));
    assert!(!lease.is_valid(at(10)));
}

#[test]
fn a_lease_runs_from_when_its_probe_was_sent_however_late_the_answer_is() {
    let mut lease = new_lease();
    let number = lease.start_probe(at(1_000));
    let other = lease.start_probe(at(1_200));
    lease.record_grant(number);
    assert!(lease.is_valid(at(1_000 + LEASE_MS - 1)));
    assert!(!lease.is_valid(at(1_000 + LEASE_MS)));
    // A process that was frozen reads the answer only when it resumes.
    lease.record_grant(other);
    assert!(!lease.is_valid(at(1_200 + LEASE_MS)));
}

#[test]
fn an_answer_that_matches_no_probe_of_this_process_grants_nothing() {
    let mut lease = new_lease();
    let number = lease.start_probe(at(0));
    lease.record_grant(number.wrapping_add(1));
    lease.record_grant(number.wrapping_sub(1));
    assert!(!lease.is_valid(at(0)));
}

#[test]
fn three_of_six_members_without_a_leader_renew_their_leases() {
    let own_view = leaderless_view(6);
    let mut lease = granted_lease(0);
    probe_without_leader(&mut lease, 3_000, &[(2, 3_020), (3, 3_020)], &own_view);
    assert!(lease.is_valid(at(3_000 + LEASE_MS - 1)));
    assert!(!lease.is_valid(at(3_000 + LEASE_MS)));
}

#[test]
fn answers_that_leave_a_quorum_without_any_of_their_senders_renew_nothing() {
    let mut lease = granted_lease(0);
    probe_without_leader(
        &mut lease,
        3_000,
        &[(2, 3_020), (2, 3_021)],
        &leaderless_view(6),
    );
    assert!(!lease.is_valid(at(LEASE_MS)));
    let mut lease = granted_lease(0);
    // An answer from a replica that is not a member does not count.
    probe_without_leader(
        &mut lease,
        3_000,
        &[(2, 3_020), (9, 3_020)],
        &leaderless_view(6),
    );
    assert!(!lease.is_valid(at(LEASE_MS)));
    let mut lease = granted_lease(0);
    probe_without_leader(&mut lease, 3_000, &[(2, 3_020)], &leaderless_view(3));
    assert!(lease.is_valid(at(LEASE_MS)));
}

#[test]
fn leaderless_answers_count_only_within_the_window_and_for_one_probe() {
    let own_view = leaderless_view(6);
    let mut lease = granted_lease(0);
    probe_without_leader(&mut lease, 3_000, &[(2, 3_020), (3, 3_251)], &own_view);
    probe_without_leader(&mut lease, 3_300, &[(2, 3_320)], &own_view);
    probe_without_leader(&mut lease, 3_400, &[(3, 3_420)], &own_view);
    assert!(!lease.is_valid(at(LEASE_MS)));
}

#[test]
fn an_expired_lease_is_not_renewed_without_a_leader() {
    let mut lease = granted_lease(0);
    probe_without_leader(
        &mut lease,
        LEASE_MS,
        &[(2, LEASE_MS + 10), (3, LEASE_MS + 10)],
        &leaderless_view(6),
    );
    assert!(!lease.is_valid(at(LEASE_MS + 10)));
}

#[test]
fn a_replica_that_hears_a_leader_or_knows_of_a_change_ignores_leaderless_answers() {
    let own_views = [
        GroupView {
            is_leaderless: false,
            ..leaderless_view(6)
        },
        GroupView {
            is_settled: false,
            ..leaderless_view(6)
        },
        GroupView {
            membership_index: MEMBERSHIP_INDEX + 1,
            ..leaderless_view(6)
        },
    ];
    for own_view in own_views {
        let mut lease = granted_lease(0);
        probe_without_leader(&mut lease, 3_000, &[(2, 3_020), (3, 3_020)], &own_view);
        assert!(!lease.is_valid(at(LEASE_MS)), "{own_view:?}");
    }
}

#[test]
fn leased_parts_never_exceed_one_bucket_under_partitions_freezes_restarts_and_changes() {
    let maxima = simulate(160..220, BrokenRule::None, true);
    assert!(maxima.leased_share <= ONE_BUCKET, "{maxima:?}");
    assert_eq!(maxima.removed_holders, 0, "{maxima:?}");
    // Guards against a vacuous pass in which no part is ever held without a leader.
    assert!(
        maxima.leaderless_ms > PATIENCE.as_millis() as u64,
        "{maxima:?}"
    );
}

#[test]
fn a_removed_member_has_no_lease_once_its_removal_is_complete() {
    let maxima = simulate(100..160, BrokenRule::None, false);
    assert_eq!(maxima.removed_holders, 0, "{maxima:?}");
    assert!(
        maxima.leaderless_ms > PATIENCE.as_millis() as u64,
        "{maxima:?}"
    );
}

#[test]
fn the_simulation_detects_leases_that_never_expire() {
    let maxima = simulate(0..40, BrokenRule::Expiry, true);
    assert!(maxima.leased_share > ONE_BUCKET, "{maxima:?}");
}

#[test]
fn the_simulation_detects_that_stale_answers_count() {
    let maxima = simulate(0..40, BrokenRule::Freshness, true);
    assert!(maxima.removed_holders > 0, "{maxima:?}");
}

#[test]
fn the_simulation_detects_leaders_that_count_silence_across_gaps() {
    let maxima = simulate(180..200, BrokenRule::Gaps, true);
    assert!(maxima.leased_share > ONE_BUCKET, "{maxima:?}");
}
