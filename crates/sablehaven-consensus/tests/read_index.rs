//! Linearizable reads by a quorum's confirmation.

mod support;

use sablehaven_consensus::{Config, Message, PersistentState, Replica};
use support::{Cluster, id, ids, win};

#[test]
fn a_read_is_answered_with_what_was_committed_when_it_was_asked() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "written");
    cluster.settle();
    let commit = cluster.replica(1).status().commit;
    cluster.replica(1).read_index(7).expect("leads");
    cluster.settle();
    assert_eq!(cluster.node(1).reads, vec![(7, commit)]);
}

#[test]
fn reads_between_two_readies_share_one_round() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.take_sent();
    for token in 0..100 {
        cluster.replica(1).read_index(token).expect("leads");
    }
    cluster.settle();
    assert_eq!(cluster.node(1).reads.len(), 100);
    let is_heartbeat = |message: &Message| matches!(message, Message::Heartbeat { .. });
    let sent = cluster.take_sent();
    assert_eq!(sent.iter().filter(|(.., m)| is_heartbeat(m)).count(), 2);
}

#[test]
fn a_leader_that_is_cut_off_answers_no_read() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.cut_off(1);
    cluster.replica(1).read_index(1).expect("still leads");
    cluster.settle();
    cluster.elect(2);
    cluster.propose(2, "newer");
    cluster.settle();
    assert!(cluster.node(1).reads.is_empty());
    cluster.ticks(cluster.config.election_timeout_ticks);
    assert!(cluster.node(1).reads.is_empty());
    assert_eq!(cluster.node(1).refused_reads, vec![1]);
    assert!(cluster.replica(1).read_index(2).is_err());
}

#[test]
fn a_late_confirmation_of_an_earlier_round_does_not_answer_a_read() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let term = cluster.replica(1).status().term;
    cluster.replica(1).read_index(1).expect("leads");
    cluster.settle();
    cluster.cut_off(1);
    cluster.replica(1).read_index(2).expect("leads");
    cluster.settle();
    let late = Message::HeartbeatReply { term, round: 1 };
    cluster.replica(1).receive(id(2), late);
    cluster.settle();
    assert_eq!(cluster.node(1).reads.len(), 1);
    let confirmed = Message::HeartbeatReply { term, round: 2 };
    cluster.replica(1).receive(id(3), confirmed);
    cluster.settle();
    assert_eq!(cluster.node(1).reads.len(), 2);
}

#[test]
fn a_learners_confirmation_does_not_count() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.start(4, Default::default());
    let add = sablehaven_consensus::MembershipChange::AddLearner(id(4));
    cluster.replica(1).change_membership(add).expect("is added");
    cluster.settle();
    cluster.cut.insert((id(2), id(1)));
    cluster.cut.insert((id(3), id(1)));
    cluster.replica(1).read_index(1).expect("leads");
    cluster.settle();
    assert!(cluster.node(1).reads.is_empty());
}

#[test]
fn a_new_leader_answers_reads_only_after_an_entry_of_its_term_is_committed() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "acknowledged by the first leader");
    cluster.settle();
    let acknowledged = cluster.replica(1).status().commit;
    // The followers do not know yet that the last entry is committed.
    assert!(cluster.replica(2).status().commit < acknowledged);
    cluster.cut_off(1);
    cluster.elect(2);
    cluster.replica(2).read_index(9).expect("leads");
    cluster.settle();
    let (_, index) = cluster.node(2).reads[0];
    assert!(index > acknowledged);
}

#[test]
fn a_group_of_one_answers_at_once() {
    let mut cluster = Cluster::new(&[1]);
    cluster.elect(1);
    cluster.replica(1).read_index(3).expect("leads");
    cluster.settle();
    assert_eq!(cluster.node(1).reads.len(), 1);
}

#[test]
fn a_confirmed_round_does_not_answer_a_read_before_the_terms_first_entry_is_committed() {
    let bootstrap = PersistentState::bootstrap(ids(&[1, 2, 3]));
    let mut replica = Replica::new(Config::default(), id(1), bootstrap);
    win(&mut replica, 2);
    let term = replica.term();
    replica.read_index(7).expect("leads");
    replica.take_ready();
    replica.receive(id(2), Message::HeartbeatReply { term, round: 1 });
    assert!(replica.take_ready().reads.is_empty());
}
