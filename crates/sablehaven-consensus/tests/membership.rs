//! Changes of the members.

mod support;

use sablehaven_consensus::{
    Config,
    MembershipChange::{AddLearner, Promote, Remove},
    MembershipError, PersistentState, Replica, Role,
};
use support::{Cluster, commands, id, ids, win};

/// Three voters led by the first, and a blank fourth replica.
fn three_and_a_blank() -> Cluster {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "early");
    cluster.settle();
    cluster.start(4, PersistentState::default());
    cluster
}

fn change(cluster: &mut Cluster, change: sablehaven_consensus::MembershipChange) {
    cluster
        .replica(1)
        .change_membership(change)
        .expect("is allowed");
    cluster.ticks(6);
}

#[test]
fn a_lost_replica_is_replaced_step_by_step() {
    let mut cluster = three_and_a_blank();
    cluster.nodes.remove(&id(3));
    change(&mut cluster, AddLearner(id(4)));
    assert_eq!(commands(&cluster.node(4).applied), ["early"]);
    change(&mut cluster, Promote(id(4)));
    change(&mut cluster, Remove(id(3)));
    let membership = cluster.replica(1).status().membership;
    assert_eq!(membership.voters, ids(&[1, 2, 4]));
    assert_eq!(cluster.replica(4).status().membership, membership);
    // A second failure right after the repair.
    cluster.nodes.remove(&id(1));
    cluster.ticks(60);
    assert_eq!(cluster.leaders().len(), 1);
    assert_eq!(commands(&cluster.node(4).applied), ["early"]);
}

#[test]
fn a_learner_does_not_count_for_a_commit() {
    let mut cluster = three_and_a_blank();
    change(&mut cluster, AddLearner(id(4)));
    cluster.cut_off(2);
    cluster.cut_off(3);
    let commit = cluster.replica(1).status().commit;
    cluster.propose(1, "held by the leader and the learner only");
    cluster.settle();
    assert_eq!(cluster.replica(1).status().commit, commit);
}

#[test]
fn one_change_at_a_time() {
    let mut cluster = three_and_a_blank();
    cluster.cut_off(2);
    cluster.cut_off(3);
    let add = cluster.replica(1).change_membership(AddLearner(id(4)));
    let index = add.expect("is allowed").index;
    cluster.settle();
    let refused = cluster.replica(1).change_membership(Remove(id(3)));
    assert_eq!(refused, Err(MembershipError::ChangePending { index }));
}

#[test]
fn a_second_replacement_waits_for_the_first() {
    let mut cluster = three_and_a_blank();
    cluster.cut_off(4);
    change(&mut cluster, AddLearner(id(4)));
    let refused = cluster.replica(1).change_membership(AddLearner(id(5)));
    let learner = id(4);
    assert_eq!(refused, Err(MembershipError::LearnerPending { learner }));
}

#[test]
fn a_learner_is_promoted_only_when_it_has_caught_up_and_answers() {
    let mut cluster = three_and_a_blank();
    cluster.cut_off(4);
    change(&mut cluster, AddLearner(id(4)));
    let refused = cluster.replica(1).change_membership(Promote(id(4)));
    assert!(matches!(refused, Err(MembershipError::NotCaughtUp { .. })));
    cluster.heal();
    cluster.ticks(6);
    cluster.cut_off(4);
    cluster.ticks(cluster.config.election_timeout_ticks);
    let refused = cluster.replica(1).change_membership(Promote(id(4)));
    assert!(matches!(refused, Err(MembershipError::NotCaughtUp { .. })));
    cluster.heal();
    cluster.ticks(6);
    change(&mut cluster, Promote(id(4)));
}

#[test]
fn a_change_after_which_no_quorum_answers_is_refused() {
    let mut cluster = three_and_a_blank();
    cluster.cut_off(3);
    cluster.ticks(cluster.config.election_timeout_ticks);
    let refused = cluster.replica(1).change_membership(Remove(id(2)));
    let lost = MembershipError::WouldLoseQuorum {
        active: 1,
        quorum: 2,
    };
    assert_eq!(refused, Err(lost));
    change(&mut cluster, Remove(id(3)));
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
fn changes_that_do_not_fit_the_members_are_refused() {
    let mut cluster = three_and_a_blank();
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
fn a_leader_changes_nothing_before_it_has_committed_an_entry_of_its_term() {
    let bootstrap = PersistentState::bootstrap(ids(&[1, 2, 3]));
    let mut replica = Replica::new(Config::default(), id(2), bootstrap);
    win(&mut replica, 3);
    let refused = replica.change_membership(Remove(id(1)));
    assert_eq!(refused, Err(MembershipError::LeaderNotReady));
}

#[test]
fn a_leader_that_removes_itself_leads_until_that_is_committed() {
    let mut cluster = three_and_a_blank();
    cluster
        .replica(1)
        .change_membership(Remove(id(1)))
        .expect("is allowed");
    assert_eq!(cluster.replica(1).status().role, Role::Leader);
    cluster.settle();
    assert_eq!(cluster.replica(1).status().role, Role::Follower);
    // It asked a successor to take over: no timeout was needed.
    assert_eq!(cluster.leaders().len(), 1);
    cluster.ticks(60);
    assert_eq!(cluster.replica(1).status().role, Role::Follower);
    assert_eq!(cluster.leaders().len(), 1);
}

#[test]
fn a_removed_replica_that_does_not_know_it_disturbs_nobody() {
    let mut cluster = three_and_a_blank();
    cluster.cut_off(3);
    change(&mut cluster, Remove(id(3)));
    let term = cluster.replica(1).status().term;
    cluster.heal();
    for _ in 0..200 {
        cluster.replica(3).tick();
        cluster.settle();
    }
    assert_eq!(cluster.leaders(), vec![id(1)]);
    assert_eq!(cluster.replica(2).status().term, term);
}

#[test]
fn members_whose_entry_is_replaced_are_no_longer_in_force() {
    let mut cluster = three_and_a_blank();
    cluster.cut_off(1);
    cluster
        .replica(1)
        .change_membership(AddLearner(id(4)))
        .expect("is allowed");
    cluster.settle();
    assert!(cluster.replica(1).status().membership.contains(id(4)));
    cluster.elect(2);
    cluster.heal();
    cluster.ticks(10);
    assert!(!cluster.replica(1).status().membership.contains(id(4)));
}

#[test]
fn members_survive_a_restart_and_a_snapshot() {
    let mut cluster = three_and_a_blank();
    change(&mut cluster, AddLearner(id(4)));
    change(&mut cluster, Promote(id(4)));
    cluster.restart(2);
    assert_eq!(
        cluster.replica(2).status().membership.voters,
        ids(&[1, 2, 3, 4])
    );
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(delivered_index);
    let metadata = metadata.expect("is handed out");
    assert_eq!(metadata.membership.voters, ids(&[1, 2, 3, 4]));
}
