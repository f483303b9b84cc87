use super::*;

const PATIENCE: Duration = Duration::from_secs(3);
const MEMBER: ReplicaId = ReplicaId(4);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_leader_that_has_not_led_for_the_patience_does_not_know_what_another_granted() {
    let mut grants = PartGrants::default();
    assert!(grants.may_be_held(at(10_000), 2, MEMBER, PATIENCE));
    grants.record_leadership(at(10_000), 2);
    assert!(grants.may_be_held(at(12_999), 2, MEMBER, PATIENCE));
    assert!(!grants.may_be_held(at(13_000), 2, MEMBER, PATIENCE));
}

#[test]
fn what_is_known_of_one_term_says_nothing_of_the_next() {
    let mut grants = PartGrants::default();
    grants.record_leadership(at(0), 2);
    assert!(grants.may_be_held(at(9_000), 3, MEMBER, PATIENCE));
    grants.record_leadership(at(9_000), 3);
    assert!(grants.may_be_held(at(11_999), 3, MEMBER, PATIENCE));
}

#[test]
fn a_member_that_asked_lately_may_hold_its_part() {
    let mut grants = PartGrants::default();
    grants.record_leadership(at(0), 2);
    grants.record_probe(at(5_000), MEMBER);
    assert!(grants.may_be_held(at(7_999), 2, MEMBER, PATIENCE));
    assert!(!grants.may_be_held(at(8_000), 2, MEMBER, PATIENCE));
}
