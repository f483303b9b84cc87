//! Tests of linearizable reads confirmed by a quorum.

mod support;

use sablehaven_consensus::{Config, Message, PersistentState, Replica};
use support::{Cluster, id, ids, win_election};

#[test]
fn a_read_returns_the_commit_index_at_the_time_of_the_request() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "written");
    cluster.deliver_all();
    let commit = cluster.replica(1).status().commit;
    cluster
        .replica(1)
        .read_index(7)
        .expect("the replica is the leader");
    cluster.deliver_all();
    assert_eq!(cluster.node(1).reads, vec![(7, commit)]);
}

#[test]
fn reads_between_two_readies_share_one_round() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.take_sent();
    for token in 0..100 {
        cluster
            .replica(1)
            .read_index(token)
            .expect("the replica is the leader");
    }
    cluster.deliver_all();
    assert_eq!(cluster.node(1).reads.len(), 100);
    let is_heartbeat = |message: &Message| matches!(message, Message::Heartbeat { .. });
    let sent = cluster.take_sent();
    assert_eq!(sent.iter().filter(|(.., m)| is_heartbeat(m)).count(), 2);
}

#[test]
fn a_partitioned_leader_answers_no_read() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.partition(1);
    cluster
        .replica(1)
        .read_index(1)
        .expect("the replica still considers itself the leader");
    cluster.deliver_all();
    cluster.elect(2);
    cluster.propose(2, "newer");
    cluster.deliver_all();
    assert!(cluster.node(1).reads.is_empty());
    cluster.tick_times(cluster.config.election_timeout_ticks);
    assert!(cluster.node(1).reads.is_empty());
    assert_eq!(cluster.node(1).refused_reads, vec![1]);
    assert!(cluster.replica(1).read_index(2).is_err());
}

#[test]
fn a_late_confirmation_of_an_earlier_round_does_not_answer_a_read() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let term = cluster.replica(1).status().term;
    cluster
        .replica(1)
        .read_index(1)
        .expect("the replica is the leader");
    cluster.deliver_all();
    cluster.partition(1);
    cluster
        .replica(1)
        .read_index(2)
        .expect("the replica is the leader");
    cluster.deliver_all();
    let late = Message::HeartbeatReply { term, round: 1 };
    cluster.replica(1).receive(id(2), late);
    cluster.deliver_all();
    assert_eq!(cluster.node(1).reads.len(), 1);
    let confirmed = Message::HeartbeatReply { term, round: 2 };
    cluster.replica(1).receive(id(3), confirmed);
    cluster.deliver_all();
    assert_eq!(cluster.node(1).reads.len(), 2);
}

#[test]
fn a_learners_confirmation_does_not_count() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.start(4, Default::default());
    let add = sablehaven_consensus::MembershipChange::AddLearner(id(4));
    cluster
        .replica(1)
        .change_membership(add)
        .expect("the change is accepted");
    cluster.deliver_all();
    cluster.blocked_links.insert((id(2), id(1)));
    cluster.blocked_links.insert((id(3), id(1)));
    cluster
        .replica(1)
        .read_index(1)
        .expect("the replica is the leader");
    cluster.deliver_all();
    assert!(cluster.node(1).reads.is_empty());
}

#[test]
fn a_new_leader_answers_reads_only_after_an_entry_of_its_term_is_committed() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "acknowledged by the first leader");
    cluster.deliver_all();
    let acknowledged = cluster.replica(1).status().commit;
    // The followers do not know yet that the last entry is committed.
    assert!(cluster.replica(2).status().commit < acknowledged);
    cluster.partition(1);
    cluster.elect(2);
    cluster
        .replica(2)
        .read_index(9)
        .expect("the replica is the leader");
    cluster.deliver_all();
    let (_, index) = cluster.node(2).reads[0];
    assert!(index > acknowledged);
}

#[test]
fn a_single_voter_answers_reads_at_once() {
    let mut cluster = Cluster::new(&[1]);
    cluster.elect(1);
    cluster
        .replica(1)
        .read_index(3)
        .expect("the replica is the leader");
    cluster.deliver_all();
    assert_eq!(cluster.node(1).reads.len(), 1);
}

#[test]
fn a_confirmed_round_does_not_answer_a_read_before_the_terms_first_entry_is_committed() {
    let bootstrap = PersistentState::bootstrap(ids(&[1, 2, 3]));
    let mut replica = Replica::new(Config::default(), id(1), bootstrap);
    win_election(&mut replica, 2);
    let term = replica.term();
    replica.read_index(7).expect("the replica is the leader");
    replica.take_ready();
    replica.receive(id(2), Message::HeartbeatReply { term, round: 1 });
    assert!(replica.take_ready().reads.is_empty());
}
