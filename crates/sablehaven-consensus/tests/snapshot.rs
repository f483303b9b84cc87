//! Snapshots for followers whose next entries are compacted.

mod support;

use sablehaven_consensus::{Config, Message, Snapshot, SnapshotChunk, SnapshotMetadata};
use support::{Cluster, commands, id};

const DATA: &[u8] = b"the state machine's own encoding of everything";

/// Replica 3 is cut off, and what it misses is compacted.
fn with_compacted_leader() -> Cluster {
    let config = Config {
        retained_entries: 0,
        snapshot_chunk_bytes: 7,
        ..Config::default()
    };
    let mut cluster = Cluster::with_config(&[1, 2, 3], config);
    cluster.elect(1);
    cluster.cut_off(3);
    for number in 0..20 {
        cluster.propose(1, &number.to_string());
        cluster.settle();
    }
    let metadata = compact(&mut cluster);
    assert_eq!(cluster.replica(1).status().first_index, metadata.index + 1);
    cluster
}

fn compact(cluster: &mut Cluster) -> SnapshotMetadata {
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(delivered_index);
    let metadata = metadata.expect("is handed out");
    cluster.replica(1).compacted(&metadata);
    metadata
}

fn provide(cluster: &mut Cluster) {
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(delivered_index);
    let snapshot = Snapshot {
        metadata: metadata.expect("is handed out"),
        data: DATA.to_vec(),
    };
    cluster.replica(1).provide_snapshot(snapshot);
    cluster.settle();
}

#[test]
fn a_follower_far_behind_gets_the_snapshot_in_chunks_and_then_the_log() {
    let mut cluster = with_compacted_leader();
    cluster.heal();
    cluster.ticks(6);
    assert!(cluster.node(1).needs_snapshot);
    cluster.take_sent();
    provide(&mut cluster);
    cluster.propose(1, "after");
    cluster.ticks(4);
    let node = cluster.node(3);
    assert_eq!(node.snapshot_data, DATA);
    assert_eq!(commands(&node.applied), ["after"]);
    let sent = cluster.take_sent();
    let chunk = |message: &Message| match message {
        Message::SnapshotChunk(chunk) => Some(chunk.data.len()),
        _ => None,
    };
    let chunks: Vec<usize> = sent.iter().filter_map(|(.., m)| chunk(m)).collect();
    assert_eq!(chunks.len(), DATA.len().div_ceil(7));
    assert!(chunks.iter().all(|length| *length <= 7));
    assert!(!cluster.node(1).needs_snapshot);
}

#[test]
fn a_transfer_goes_on_where_it_was_interrupted() {
    let mut cluster = with_compacted_leader();
    cluster.heal();
    cluster.ticks(6);
    let metadata = cluster.replica(1).status().delivered_index;
    let metadata = cluster
        .replica(1)
        .snapshot_metadata(metadata)
        .expect("held");
    let data = DATA.to_vec();
    cluster
        .replica(1)
        .provide_snapshot(Snapshot { metadata, data });
    // Four chunks arrive; then the link is cut for a while.
    for _ in 0..4 {
        for (to, message) in cluster.node(1).work() {
            if to == id(3) {
                cluster.replica(3).receive(id(1), message);
            }
        }
        for (_, message) in cluster.node(3).work() {
            cluster.replica(1).receive(id(3), message);
        }
    }
    cluster.cut_off(3);
    cluster.ticks(5);
    cluster.heal();
    cluster.take_sent();
    cluster.ticks(10);
    assert_eq!(cluster.node(3).snapshot_data, DATA);
    let offset = |message: &Message| match message {
        Message::SnapshotChunk(chunk) => Some(chunk.offset),
        _ => None,
    };
    let sent = cluster.take_sent();
    let first = sent.iter().find_map(|(.., message)| offset(message));
    assert_eq!(first, Some(28));
}

#[test]
fn late_and_repeated_chunks_do_no_harm() {
    let mut cluster = with_compacted_leader();
    cluster.heal();
    cluster.ticks(6);
    cluster.take_sent();
    provide(&mut cluster);
    cluster.ticks(4);
    let before = cluster.replica(3).status();
    for (from, to, message) in cluster.take_sent() {
        if to == id(3) && matches!(message, Message::SnapshotChunk(_)) {
            cluster.replica(3).receive(from, message);
        }
    }
    cluster.settle();
    assert_eq!(cluster.replica(3).status(), before);
}

#[test]
fn the_acknowledgement_of_a_snapshot_waits_for_its_sync() {
    let mut cluster = with_compacted_leader();
    let term = cluster.replica(1).status().term;
    let metadata = SnapshotMetadata {
        index: 40,
        term,
        membership: cluster.replica(1).status().membership,
    };
    let chunk = SnapshotChunk {
        term,
        transfer: 1,
        metadata,
        total_bytes: 2,
        offset: 0,
        data: b"ab".to_vec(),
    };
    let follower = cluster.replica(3);
    follower.receive(id(1), Message::SnapshotChunk(chunk));
    let ready = follower.take_ready();
    assert_eq!(ready.snapshot.expect("is installed").metadata.index, 40);
    assert!(ready.messages_before_sync.is_empty());
    assert_eq!(ready.messages_after_sync.len(), 1);
    assert!(ready.committed.is_empty());
}

#[test]
fn chunks_of_two_transfers_are_not_mixed() {
    let mut cluster = with_compacted_leader();
    let term = cluster.replica(1).status().term;
    let metadata = SnapshotMetadata {
        index: 40,
        term,
        membership: cluster.replica(1).status().membership,
    };
    let chunk = |transfer, offset, data: &[u8]| {
        Message::SnapshotChunk(SnapshotChunk {
            term,
            transfer,
            metadata: metadata.clone(),
            total_bytes: 4,
            offset,
            data: data.to_vec(),
        })
    };
    let follower = cluster.replica(3);
    follower.receive(id(1), chunk(1, 0, b"ab"));
    follower.receive(id(1), chunk(2, 2, b"CD"));
    assert_eq!(follower.take_ready().snapshot, None);
    follower.receive(id(1), chunk(2, 0, b"AB"));
    follower.receive(id(1), chunk(2, 2, b"CD"));
    let snapshot = follower.take_ready().snapshot;
    assert_eq!(snapshot.expect("is whole").data, b"ABCD");
}

#[test]
fn a_snapshot_in_transfer_is_not_compacted_away_under_it() {
    let mut cluster = with_compacted_leader();
    cluster.heal();
    cluster.ticks(6);
    let start = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(start).expect("held");
    let data = DATA.to_vec();
    cluster
        .replica(1)
        .provide_snapshot(Snapshot { metadata, data });
    cluster.node(1).work();
    cluster.cut_off(3);
    cluster.propose(1, "more");
    cluster.settle();
    compact(&mut cluster);
    assert_eq!(cluster.replica(1).status().first_index, start + 1);
}

#[test]
fn a_follower_that_restarts_from_its_snapshot_goes_on() {
    let mut cluster = with_compacted_leader();
    cluster.heal();
    cluster.ticks(6);
    provide(&mut cluster);
    cluster.ticks(4);
    cluster.restart(3);
    cluster.propose(1, "after");
    cluster.ticks(6);
    assert_eq!(commands(&cluster.node(3).applied), ["after"]);
}
