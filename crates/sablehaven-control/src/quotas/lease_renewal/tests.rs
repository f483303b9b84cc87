//! Tests of when a member states that it has no leader.

use std::collections::BTreeMap;

use sablehaven_consensus::{Membership, Status};

use super::*;

const ELECTION_TICKS: u32 = 40;

/// The state of a follower that has heard no leader for an election timeout and has applied its whole log.
fn leaderless_follower() -> GroupState {
    let voters = [1, 2, 3].map(ReplicaId).into();
    let membership = Membership {
        voters,
        ..Membership::default()
    };
    let replica = Status {
        id: ReplicaId(1),
        role: Role::Follower,
        term: 3,
        leader: None,
        leader_silent_ticks: ELECTION_TICKS,
        commit: 9,
        delivered_index: 9,
        last_index: 9,
        first_index: 1,
        membership,
        membership_index: 5,
        peers: BTreeMap::new(),
        transfer: None,
        fault: None,
    };
    GroupState {
        group: 0,
        replica,
        applied: 9,
        has_unapplied_change: false,
    }
}

#[test]
fn a_member_without_a_leader_answers_with_the_index_of_its_membership() {
    let view = group_view(leaderless_follower(), false, ELECTION_TICKS);
    assert_eq!(view.leaderless_at(), Some(5));
}

#[test]
fn a_leader_or_a_member_that_has_recently_heard_one_is_not_leaderless() {
    let mut group = leaderless_follower();
    group.replica.leader_silent_ticks = ELECTION_TICKS - 1;
    assert_eq!(
        group_view(group, false, ELECTION_TICKS).leaderless_at(),
        None
    );
    let mut group = leaderless_follower();
    group.replica.role = Role::Leader;
    assert_eq!(
        group_view(group, false, ELECTION_TICKS).leaderless_at(),
        None
    );
}

#[test]
fn a_member_that_knows_of_an_unfinished_membership_change_does_not_answer() {
    assert_eq!(
        group_view(leaderless_follower(), true, ELECTION_TICKS).leaderless_at(),
        None
    );
    let mut group = leaderless_follower();
    group.has_unapplied_change = true;
    assert_eq!(
        group_view(group, false, ELECTION_TICKS).leaderless_at(),
        None
    );
    let mut group = leaderless_follower();
    group.replica.membership.learners.insert(ReplicaId(4));
    assert_eq!(
        group_view(group, false, ELECTION_TICKS).leaderless_at(),
        None
    );
}
