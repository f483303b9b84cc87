//! Tests of snapshot transfer to followers whose next entries are compacted.

mod support;

use sablehaven_consensus::{Config, Message, Snapshot, SnapshotChunk, SnapshotMetadata};
use support::{Cluster, commands, id};

const DATA: &[u8] = b"the state machine's own encoding of everything";

/// Returns a group in which replica 3 is partitioned and the entries that it lacks are compacted.
fn cluster_with_compacted_leader() -> Cluster {
    let config = Config {
        retained_entries: 0,
        snapshot_chunk_bytes: 7,
        ..Config::default()
    };
    let mut cluster = Cluster::with_config(&[1, 2, 3], config);
    cluster.elect(1);
    cluster.partition(3);
    for number in 0..20 {
        cluster.propose(1, &number.to_string());
        cluster.deliver_all();
    }
    let metadata = compact(&mut cluster);
    assert_eq!(cluster.replica(1).status().first_index, metadata.index + 1);
    cluster
}

fn compact(cluster: &mut Cluster) -> SnapshotMetadata {
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(delivered_index);
    let metadata = metadata.expect("the entry was delivered");
    cluster.replica(1).compacted(&metadata);
    metadata
}

fn provide(cluster: &mut Cluster) {
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster.replica(1).snapshot_metadata(delivered_index);
    let snapshot = Snapshot {
        metadata: metadata.expect("the entry was delivered"),
        data: DATA.to_vec(),
    };
    cluster.replica(1).provide_snapshot(snapshot);
    cluster.deliver_all();
}

#[test]
fn a_lagging_follower_receives_the_snapshot_in_chunks_and_then_the_log() {
    let mut cluster = cluster_with_compacted_leader();
    cluster.heal();
    cluster.tick_times(6);
    assert!(cluster.node(1).needs_snapshot);
    cluster.take_sent();
    provide(&mut cluster);
    cluster.propose(1, "after");
    cluster.tick_times(4);
    let node = cluster.node(3);
    assert_eq!(node.snapshot_data, DATA);
    assert_eq!(commands(&node.applied), ["after"]);
    let sent = cluster.take_sent();
    let chunk_bytes = |message: &Message| match message {
        Message::SnapshotChunk(chunk) => Some(chunk.data.len()),
        _ => None,
    };
    let chunk_lengths: Vec<usize> = sent.iter().filter_map(|(.., m)| chunk_bytes(m)).collect();
    assert_eq!(chunk_lengths.len(), DATA.len().div_ceil(7));
    assert!(chunk_lengths.iter().all(|length| *length <= 7));
    assert!(!cluster.node(1).needs_snapshot);
}

#[test]
fn an_interrupted_transfer_resumes_where_it_stopped() {
    let mut cluster = cluster_with_compacted_leader();
    cluster.heal();
    cluster.tick_times(6);
    let delivered_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster
        .replica(1)
        .snapshot_metadata(delivered_index)
        .expect("the entry was delivered");
    let data = DATA.to_vec();
    cluster
        .replica(1)
        .provide_snapshot(Snapshot { metadata, data });
    // Four chunks arrive. Then the links of replica 3 are blocked for a while.
    for _ in 0..4 {
        for (to, message) in cluster.node(1).process_readies() {
            if to == id(3) {
                cluster.replica(3).receive(id(1), message);
            }
        }
        for (_, message) in cluster.node(3).process_readies() {
            cluster.replica(1).receive(id(3), message);
        }
    }
    cluster.partition(3);
    cluster.tick_times(5);
    cluster.heal();
    cluster.take_sent();
    cluster.tick_times(10);
    assert_eq!(cluster.node(3).snapshot_data, DATA);
    let chunk_offset = |message: &Message| match message {
        Message::SnapshotChunk(chunk) => Some(chunk.offset),
        _ => None,
    };
    let sent = cluster.take_sent();
    let first_offset = sent.iter().find_map(|(.., message)| chunk_offset(message));
    assert_eq!(first_offset, Some(28));
}

#[test]
fn late_and_repeated_chunks_are_harmless() {
    let mut cluster = cluster_with_compacted_leader();
    cluster.heal();
    cluster.tick_times(6);
    cluster.take_sent();
    provide(&mut cluster);
    cluster.tick_times(4);
    let before = cluster.replica(3).status();
    for (from, to, message) in cluster.take_sent() {
        if to == id(3) && matches!(message, Message::SnapshotChunk(_)) {
            cluster.replica(3).receive(from, message);
        }
    }
    cluster.deliver_all();
    assert_eq!(cluster.replica(3).status(), before);
}

#[test]
fn the_acknowledgement_of_a_snapshot_waits_for_its_sync() {
    let mut cluster = cluster_with_compacted_leader();
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
    assert_eq!(
        ready
            .snapshot
            .expect("the snapshot is installed")
            .metadata
            .index,
        40
    );
    assert!(ready.messages_before_sync.is_empty());
    assert_eq!(ready.messages_after_sync.len(), 1);
    assert!(ready.committed.is_empty());
}

#[test]
fn chunks_of_two_transfers_are_not_mixed() {
    let mut cluster = cluster_with_compacted_leader();
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
    assert_eq!(snapshot.expect("the snapshot is complete").data, b"ABCD");
}

#[test]
fn entries_after_a_snapshot_in_transfer_are_not_compacted() {
    let mut cluster = cluster_with_compacted_leader();
    cluster.heal();
    cluster.tick_times(6);
    let snapshot_index = cluster.replica(1).status().delivered_index;
    let metadata = cluster
        .replica(1)
        .snapshot_metadata(snapshot_index)
        .expect("the entry was delivered");
    let data = DATA.to_vec();
    cluster
        .replica(1)
        .provide_snapshot(Snapshot { metadata, data });
    cluster.node(1).process_readies();
    cluster.partition(3);
    cluster.propose(1, "more");
    cluster.deliver_all();
    compact(&mut cluster);
    assert_eq!(cluster.replica(1).status().first_index, snapshot_index + 1);
}

#[test]
fn a_follower_that_restarts_from_its_snapshot_continues() {
    let mut cluster = cluster_with_compacted_leader();
    cluster.heal();
    cluster.tick_times(6);
    provide(&mut cluster);
    cluster.tick_times(4);
    cluster.restart(3);
    cluster.propose(1, "after");
    cluster.tick_times(6);
    assert_eq!(commands(&cluster.node(3).applied), ["after"]);
}
