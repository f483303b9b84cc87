use std::collections::BTreeMap;

use sablehaven_consensus::{Membership, Status};

use super::*;

const ELECTION_TICKS: u32 = 40;

/// A follower that has heard no leader for an election timeout and has applied all that it has.
fn leaderless() -> GroupState {
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
        handed_out: 9,
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
fn a_member_that_hears_no_leader_says_so_with_the_members_that_it_knows() {
    let contact = view(leaderless(), false, ELECTION_TICKS);
    assert_eq!(contact.leaderless_at(), Some(5));
}

#[test]
fn a_member_that_heard_a_leader_lately_or_leads_says_nothing() {
    let mut group = leaderless();
    group.replica.leader_silent_ticks = ELECTION_TICKS - 1;
    assert_eq!(view(group, false, ELECTION_TICKS).leaderless_at(), None);
    let mut group = leaderless();
    group.replica.role = Role::Leader;
    assert_eq!(view(group, false, ELECTION_TICKS).leaderless_at(), None);
}

#[test]
fn a_member_that_may_know_of_half_a_change_says_nothing() {
    assert_eq!(
        view(leaderless(), true, ELECTION_TICKS).leaderless_at(),
        None
    );
    let mut group = leaderless();
    group.has_unapplied_change = true;
    assert_eq!(view(group, false, ELECTION_TICKS).leaderless_at(), None);
    let mut group = leaderless();
    group.replica.membership.learners.insert(ReplicaId(4));
    assert_eq!(view(group, false, ELECTION_TICKS).leaderless_at(), None);
}
