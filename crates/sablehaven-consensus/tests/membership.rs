//! Tests of membership changes.

mod support;

use sablehaven_consensus::{
    Config,
    MembershipChange::{AddLearner, Promote, Remove},
    MembershipError, PersistentState, Replica, Role,
};
use support::{Cluster, commands, id, ids, win_election};

/// Returns a group of three voters led by replica 1, and a blank replica 4.
fn three_voters_and_a_blank_replica() -> Cluster {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "early");
    cluster.deliver_all();
    cluster.start(4, PersistentState::default());
    cluster
}

fn change_members(cluster: &mut Cluster, change: sablehaven_consensus::MembershipChange) {
    cluster
        .replica(1)
        .change_membership(change)
        .expect("the change is accepted");
    cluster.tick_times(6);
}

#[test]
fn a_lost_replica_is_replaced_step_by_step() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.nodes.remove(&id(3));
    change_members(&mut cluster, AddLearner(id(4)));
    assert_eq!(commands(&cluster.node(4).applied), ["early"]);
    change_members(&mut cluster, Promote(id(4)));
    change_members(&mut cluster, Remove(id(3)));
    let membership = cluster.replica(1).status().membership;
    assert_eq!(membership.voters, ids(&[1, 2, 4]));
    assert_eq!(cluster.replica(4).status().membership, membership);
    // A second replica fails right after the replacement.
    cluster.nodes.remove(&id(1));
    cluster.tick_times(60);
    assert_eq!(cluster.leaders().len(), 1);
    assert_eq!(commands(&cluster.node(4).applied), ["early"]);
}

#[test]
fn a_learner_does_not_count_for_a_commit() {
    let mut cluster = three_voters_and_a_blank_replica();
    change_members(&mut cluster, AddLearner(id(4)));
    cluster.partition(2);
    cluster.partition(3);
    let commit = cluster.replica(1).status().commit;
    cluster.propose(1, "held by the leader and the learner only");
    cluster.deliver_all();
    assert_eq!(cluster.replica(1).status().commit, commit);
}

#[test]
fn only_one_change_may_be_pending() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.partition(2);
    cluster.partition(3);
    let add = cluster.replica(1).change_membership(AddLearner(id(4)));
    let index = add.expect("the change is accepted").index;
    cluster.deliver_all();
    let refused = cluster.replica(1).change_membership(Remove(id(3)));
    assert_eq!(refused, Err(MembershipError::ChangePending { index }));
}

#[test]
fn a_second_learner_is_refused_while_one_is_pending() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.partition(4);
    change_members(&mut cluster, AddLearner(id(4)));
    let refused = cluster.replica(1).change_membership(AddLearner(id(5)));
    let learner = id(4);
    assert_eq!(refused, Err(MembershipError::LearnerPending { learner }));
}

#[test]
fn a_learner_is_promoted_only_when_it_has_caught_up_and_responds() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.partition(4);
    change_members(&mut cluster, AddLearner(id(4)));
    let refused = cluster.replica(1).change_membership(Promote(id(4)));
    assert!(matches!(refused, Err(MembershipError::NotCaughtUp { .. })));
    cluster.heal();
    cluster.tick_times(6);
    cluster.partition(4);
    cluster.tick_times(cluster.config.election_timeout_ticks);
    let refused = cluster.replica(1).change_membership(Promote(id(4)));
    assert!(matches!(refused, Err(MembershipError::NotCaughtUp { .. })));
    cluster.heal();
    cluster.tick_times(6);
    change_members(&mut cluster, Promote(id(4)));
}

#[test]
fn a_change_after_which_no_quorum_responds_is_refused() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.partition(3);
    cluster.tick_times(cluster.config.election_timeout_ticks);
    let refused = cluster.replica(1).change_membership(Remove(id(2)));
    let would_lose_quorum = MembershipError::WouldLoseQuorum {
        active: 1,
        quorum: 2,
    };
    assert_eq!(refused, Err(would_lose_quorum));
    change_members(&mut cluster, Remove(id(3)));
}

#[test]
fn the_last_voter_cannot_be_removed() {
    let mut cluster = Cluster::new(&[1]);
    cluster.elect(1);
    let refused = cluster.replica(1).change_membership(Remove(id(1)));
    assert!(matches!(
        refused,
        Err(MembershipError::WouldLoseQuorum { .. })
    ));
}

#[test]
fn invalid_changes_are_refused() {
    let mut cluster = three_voters_and_a_blank_replica();
    let leader = cluster.replica(1);
    let replica = id(2);
    let added = leader.change_membership(AddLearner(replica));
    assert_eq!(added, Err(MembershipError::AlreadyMember { replica }));
    let promoted = leader.change_membership(Promote(replica));
    assert_eq!(promoted, Err(MembershipError::NotLearner { replica }));
    let replica = id(9);
    let removed = leader.change_membership(Remove(replica));
    assert_eq!(removed, Err(MembershipError::NotMember { replica }));
    let follower = cluster.replica(2).change_membership(Remove(id(1)));
    let leader = Some(id(1));
    assert_eq!(follower, Err(MembershipError::NotLeader { leader }));
}

#[test]
fn a_leader_refuses_changes_before_it_has_committed_an_entry_of_its_term() {
    let bootstrap = PersistentState::bootstrap(ids(&[1, 2, 3]));
    let mut replica = Replica::new(Config::default(), id(2), bootstrap);
    win_election(&mut replica, 3);
    let refused = replica.change_membership(Remove(id(1)));
    assert_eq!(refused, Err(MembershipError::LeaderNotReady));
}

#[test]
fn a_leader_that_removes_itself_leads_until_the_removal_is_committed() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster
        .replica(1)
        .change_membership(Remove(id(1)))
        .expect("the change is accepted");
    assert_eq!(cluster.replica(1).status().role, Role::Leader);
    cluster.deliver_all();
    assert_eq!(cluster.replica(1).status().role, Role::Follower);
    // The leader asked a successor to take over, so no election timeout was needed.
    assert_eq!(cluster.leaders().len(), 1);
    cluster.tick_times(60);
    assert_eq!(cluster.replica(1).status().role, Role::Follower);
    assert_eq!(cluster.leaders().len(), 1);
}

#[test]
fn a_removed_replica_that_is_unaware_of_it_does_not_disrupt_the_group() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.partition(3);
    change_members(&mut cluster, Remove(id(3)));
    let term = cluster.replica(1).status().term;
    cluster.heal();
    for _ in 0..200 {
        cluster.replica(3).tick();
        cluster.deliver_all();
    }
    assert_eq!(cluster.leaders(), vec![id(1)]);
    assert_eq!(cluster.replica(2).status().term, term);
}

#[test]
fn a_membership_whose_entry_is_replaced_is_no_longer_in_effect() {
    let mut cluster = three_voters_and_a_blank_replica();
    cluster.partition(1);
    cluster
        .replica(1)
        .change_membership(AddLearner(id(4)))
        .expect("the change is accepted");
    cluster.deliver_all();
    assert!(cluster.replica(1).status().membership.contains(id(4)));
    cluster.elect(2);
    cluster.heal();
    cluster.tick_times(10);
    assert!(!cluster.replica(1).status().membership.contains(id(4)));
}

#[test]
fn the_membership_survives_a_restart_and_a_snapshot() {
    let mut cluster = three_voters_and_a_blank_replica();
    change_members(&mut cluster, AddLearner(id(4)));
    change_members(&mut cluster, Promote(id(4)));
    cluster.restart(2);
    assert_eq!(
        cluster.replica(2).status().membership.voters,
        ids(&[1, 2, 3, 4])
    );
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(delivered_index);
    let metadata = metadata.expect("the entry was delivered");
    assert_eq!(metadata.membership.voters, ids(&[1, 2, 3, 4]));
}
