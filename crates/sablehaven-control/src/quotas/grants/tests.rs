//! Tests of how long the leader assumes that a removed member has a lease.

use super::*;

const PATIENCE: Duration = Duration::from_secs(3);
const MEMBER: ReplicaId = ReplicaId(4);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_new_leader_assumes_grants_of_its_predecessor_until_the_patience_has_passed() {
    let mut grants = PartGrants::default();
    assert!(grants.may_be_held(at(10_000), 2, MEMBER, PATIENCE));
    grants.record_leadership(at(10_000), 2);
    assert!(grants.may_be_held(at(12_999), 2, MEMBER, PATIENCE));
    assert!(!grants.may_be_held(at(13_000), 2, MEMBER, PATIENCE));
}

#[test]
fn the_time_of_leadership_starts_anew_in_each_term() {
    let mut grants = PartGrants::default();
    grants.record_leadership(at(0), 2);
    assert!(grants.may_be_held(at(9_000), 3, MEMBER, PATIENCE));
    grants.record_leadership(at(9_000), 3);
    assert!(grants.may_be_held(at(11_999), 3, MEMBER, PATIENCE));
}

#[test]
fn a_member_that_probed_within_the_patience_may_hold_its_part() {
    let mut grants = PartGrants::default();
    grants.record_leadership(at(0), 2);
    grants.record_probe(at(5_000), MEMBER);
    assert!(grants.may_be_held(at(7_999), 2, MEMBER, PATIENCE));
    assert!(!grants.may_be_held(at(8_000), 2, MEMBER, PATIENCE));
}
