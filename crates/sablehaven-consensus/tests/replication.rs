//! Tests of log replication: order, repair after losses and conflicts, limits and commit rules.

mod support;

use sablehaven_consensus::{
    AppendResult, Config, Entry, EntryPayload, Fault, HardState, Message, PersistentState,
    Position, Replica, ReplicationState,
};
use support::{Cluster, commands, id, ids, win_election};

fn entry(index: u64, term: u64, command: &str) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(command.as_bytes().to_vec()),
    }
}

fn append(term: u64, previous: (u64, u64), entries: &[Entry], commit: u64) -> Message {
    Message::Append {
        term,
        previous: Position {
            index: previous.0,
            term: previous.1,
        },
        entries: entries.to_vec(),
        commit,
    }
}

fn follower() -> Replica {
    Replica::new(
        Config::default(),
        id(1),
        PersistentState::bootstrap(ids(&[1, 2, 3])),
    )
}

#[test]
fn proposed_commands_are_applied_in_order_on_every_replica() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    for number in 0..50 {
        cluster.propose(1, &number.to_string());
    }
    cluster.deliver_all();
    cluster.tick_times(4);
    let expected: Vec<String> = (0..50).map(|number| number.to_string()).collect();
    for number in 1..=3 {
        assert_eq!(commands(&cluster.node(number).applied), expected);
    }
}

#[test]
fn proposals_between_two_readies_share_one_message_to_each_follower() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.take_sent();
    for number in 0..50 {
        cluster.propose(1, &number.to_string());
    }
    cluster.deliver_all();
    let is_append = |message: &Message| matches!(message, Message::Append { .. });
    let sent = cluster.take_sent();
    assert_eq!(sent.iter().filter(|(.., m)| is_append(m)).count(), 2);
}

#[test]
fn appends_respect_the_limits_on_size_and_number() {
    let config = Config {
        max_append_bytes: 100,
        max_inflight_appends: 3,
        ..Config::default()
    };
    let mut cluster = Cluster::with_config(&[1, 2, 3], config);
    cluster.elect(1);
    for _ in 0..20 {
        cluster.propose(1, &"x".repeat(60));
    }
    let ready = cluster.replica(1).take_ready();
    let mut appends_to_second = 0;
    for (to, message) in &ready.messages_before_sync {
        if let Message::Append { entries, .. } = message {
            assert_eq!(entries.len(), 1);
            appends_to_second += usize::from(*to == id(2));
        }
    }
    assert_eq!(appends_to_second, 3);
}

#[test]
fn acknowledgements_wait_for_the_sync_of_the_entries() {
    let mut replica = follower();
    replica.receive(id(2), append(2, (1, 1), &[entry(2, 2, "a")], 1));
    let ready = replica.take_ready();
    assert_eq!(ready.entries, vec![entry(2, 2, "a")]);
    let result = AppendResult::Matched { index: 2 };
    let reply = Message::AppendReply { term: 2, result };
    assert_eq!(ready.messages_after_sync, vec![(id(2), reply)]);
    assert!(ready.messages_before_sync.is_empty());
}

#[test]
fn a_leader_counts_itself_only_after_its_own_sync() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "a");
    let before = cluster.replica(1).status().commit;
    let ready = cluster.replica(1).take_ready();
    let index = ready.entries[0].index;
    let term = cluster.replica(1).status().term;
    let result = AppendResult::Matched { index };
    let reply = Message::AppendReply { term, result };
    cluster.replica(1).receive(id(2), reply);
    assert_eq!(cluster.replica(1).status().commit, before);
    cluster.replica(1).persisted(ready.number);
    assert_eq!(cluster.replica(1).status().commit, index);
}

#[test]
fn committed_entries_are_delivered_only_once_synced() {
    let mut replica = follower();
    replica.receive(id(2), append(2, (1, 1), &[entry(2, 2, "a")], 2));
    let ready = replica.take_ready();
    assert_eq!(commands(&ready.committed), Vec::<String>::new());
    replica.persisted(ready.number);
    assert_eq!(commands(&replica.take_ready().committed), ["a"]);
}

#[test]
fn a_late_sync_of_replaced_entries_does_not_count() {
    let mut replica = follower();
    replica.receive(id(2), append(2, (1, 1), &[entry(2, 2, "old")], 1));
    let first = replica.take_ready();
    replica.receive(id(3), append(3, (1, 1), &[entry(2, 3, "new")], 2));
    let second = replica.take_ready();
    replica.persisted(first.number);
    assert_eq!(
        commands(&replica.take_ready().committed),
        Vec::<String>::new()
    );
    replica.persisted(second.number);
    assert_eq!(commands(&replica.take_ready().committed), ["new"]);
}

#[test]
fn a_longer_log_of_a_deposed_leader_is_replaced() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.partition(1);
    for number in 0..10 {
        cluster.propose(1, &format!("lost {number}"));
    }
    cluster.deliver_all();
    cluster.elect(2);
    cluster.propose(2, "kept");
    cluster.deliver_all();
    cluster.heal();
    cluster.tick_times(10);
    assert_eq!(commands(&cluster.node(1).applied), ["kept"]);
    let last = cluster.replica(1).status().last_index;
    assert_eq!(last, cluster.replica(2).status().last_index);
}

#[test]
fn lost_appends_are_sent_again() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "lost on the way");
    // The messages are taken and dropped.
    cluster.replica(1).take_ready();
    cluster.restart(2);
    cluster.tick_times(10);
    cluster.propose(1, "next");
    cluster.tick_times(10);
    assert_eq!(
        commands(&cluster.node(3).applied),
        ["lost on the way", "next"]
    );
}

#[test]
fn repeated_and_reordered_appends_are_harmless() {
    let mut replica = follower();
    let first = append(2, (1, 1), &[entry(2, 2, "a"), entry(3, 2, "b")], 1);
    let second = append(2, (3, 2), &[entry(4, 2, "c")], 3);
    for message in [&second, &first, &second, &first, &second] {
        replica.receive(id(2), message.clone());
        let ready = replica.take_ready();
        replica.persisted(ready.number);
    }
    let status = replica.status();
    assert_eq!((status.last_index, status.commit), (4, 3));
}

#[test]
fn an_entry_of_an_older_term_is_not_committed_by_count_alone() {
    // Figure 8 of the Raft paper: replica 1 leads term 4, and a majority has its entry of term 2.
    let disk = PersistentState {
        hard_state: HardState {
            term: 3,
            voted_for: None,
        },
        entries: vec![
            PersistentState::bootstrap(ids(&[1, 2, 3])).entries[0].clone(),
            entry(2, 2, "older term"),
        ],
        ..PersistentState::default()
    };
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.start(1, disk.clone());
    cluster.start(2, disk);
    cluster.elect(1);
    assert_eq!(cluster.replica(1).status().commit, 3, "with its own entry");

    let mut leader = cluster.node(1).disk.clone();
    leader.entries.truncate(2);
    let mut replica = Replica::new(Config::default(), id(1), leader);
    win_election(&mut replica, 2);
    let term = replica.status().term;
    let result = AppendResult::Matched { index: 2 };
    replica.receive(id(2), Message::AppendReply { term, result });
    assert_eq!(replica.status().commit, 0);
}

#[test]
fn an_append_that_conflicts_with_a_committed_entry_stops_the_replica() {
    let mut replica = follower();
    replica.receive(id(2), append(2, (1, 1), &[entry(2, 2, "a")], 2));
    let ready = replica.take_ready();
    replica.persisted(ready.number);
    replica.receive(id(3), append(3, (1, 1), &[entry(2, 3, "b")], 2));
    let fault = Fault::CommittedConflict {
        leader: id(3),
        term: 3,
        index: 2,
    };
    let ready = replica.take_ready();
    assert_eq!(ready.fault, Some(fault));
    assert!(ready.messages_after_sync.is_empty());
    assert_eq!(replica.status().fault, Some(fault));
}

#[test]
fn the_last_shared_entry_of_a_lagging_follower_is_found_in_few_messages() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.partition(3);
    for number in 0..500 {
        cluster.propose(1, &number.to_string());
        cluster.deliver_all();
    }
    cluster.heal();
    cluster.take_sent();
    cluster.tick_times(6);
    assert_eq!(commands(&cluster.node(3).applied).len(), 500);
    let is_mismatch = |message: &Message| {
        let is_rejection = |result: &AppendResult| matches!(result, AppendResult::Mismatch { .. });
        matches!(message, Message::AppendReply { result, .. } if is_rejection(result))
    };
    let sent = cluster.take_sent();
    assert!(sent.iter().filter(|(.., m)| is_mismatch(m)).count() <= 2);
    let peer = cluster.replica(1).status().peers[&id(3)];
    assert_eq!(peer.state, ReplicationState::Replicate);
}

#[test]
fn committed_entries_are_delivered_in_bounded_batches() {
    let config = Config {
        max_committed_bytes: 1000,
        ..Config::default()
    };
    let mut replica = Replica::new(config, id(1), PersistentState::bootstrap(ids(&[1, 2, 3])));
    let entries: Vec<Entry> = (2..102)
        .map(|index| entry(index, 2, "0123456789"))
        .collect();
    replica.receive(id(2), append(2, (1, 1), &entries, 101));
    let ready = replica.take_ready();
    replica.persisted(ready.number);
    let mut delivered = ready.committed.len();
    while replica.has_committed() {
        let committed = replica.take_ready().committed;
        assert!(committed.len() <= 24);
        delivered += committed.len();
    }
    assert_eq!(delivered, 101);
}
