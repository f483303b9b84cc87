//! The write queue: order and batching of writes, and when messages are released.

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_consensus::{
    Entry, EntryPayload, HardState, Message, ReplicaId, Snapshot, SnapshotMetadata,
};

use super::{GroupMessages, ReadyWrite, WriteQueue};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Empty,
    }
}

fn ready(number: u64, entries: Vec<Entry>) -> ReadyWrite {
    ReadyWrite {
        number,
        hard_state: None,
        entries,
        snapshot: None,
    }
}

fn message(round: u64) -> GroupMessages {
    vec![(ReplicaId(9), Message::HeartbeatReply { term: 1, round })]
}

#[test]
fn groups_share_a_batch_and_one_batch_is_written_at_a_time() {
    let mut queue = WriteQueue::default();
    queue.push(1, ready(1, vec![entry(1, 1)]), message(1));
    let first = queue.start_next().expect("a batch");
    assert_eq!(first.len(), 1);
    queue.push(1, ready(2, vec![entry(2, 1)]), message(2));
    queue.push(2, ready(1, vec![entry(1, 1)]), message(3));
    queue.push(1, ready(3, vec![entry(3, 1)]), message(4));
    assert!(
        queue.start_next().is_none(),
        "second batch started before the first was synced"
    );
    let after_sync = queue.complete_in_flight();
    assert_eq!(after_sync.messages, [(1, message(1))]);
    let second = queue.start_next().expect("a batch");
    assert_eq!(second.len(), 2);
    assert_eq!(second[0].entries, [entry(2, 1), entry(3, 1)]);
    let after_sync = queue.complete_in_flight();
    assert_eq!(after_sync.ready_numbers[&1], 3);
    assert_eq!(after_sync.messages.len(), 3);
    assert!(queue.is_idle());
}

#[test]
fn later_entries_replace_earlier_ones_from_their_index_on() {
    let mut queue = WriteQueue::default();
    queue.push(
        1,
        ready(1, vec![entry(5, 1), entry(6, 1), entry(7, 1)]),
        vec![],
    );
    let mut newer = ready(2, vec![entry(6, 2)]);
    let hard_state = HardState {
        term: 2,
        voted_for: None,
    };
    newer.hard_state = Some(hard_state);
    queue.push(1, newer, vec![]);
    let batch = queue.start_next().expect("a batch");
    assert_eq!(batch[0].entries, [entry(5, 1), entry(6, 2)]);
    assert_eq!(batch[0].hard_state, Some(hard_state));
}

#[test]
fn a_snapshot_is_not_merged_with_other_writes() {
    let mut queue = WriteQueue::default();
    queue.push(1, ready(1, vec![entry(5, 1)]), vec![]);
    let mut with_snapshot = ready(2, vec![entry(21, 2)]);
    with_snapshot.snapshot = Some(Snapshot {
        metadata: SnapshotMetadata {
            index: 20,
            ..SnapshotMetadata::default()
        },
        data: vec![],
    });
    queue.push(1, with_snapshot, vec![]);
    queue.push(1, ready(3, vec![entry(22, 2)]), vec![]);
    let mut batches = 0;
    while let Some(batch) = queue.start_next() {
        assert_eq!(batch.len(), 1);
        queue.complete_in_flight();
        batches += 1;
    }
    assert_eq!(batches, 3);
}

#[test]
fn messages_of_a_ready_without_writes_wait_only_for_earlier_writes_of_their_group() {
    let mut queue = WriteQueue::default();
    assert_eq!(queue.push_messages(1, message(1)), Some(message(1)));
    queue.push(1, ready(1, vec![entry(1, 1)]), vec![]);
    queue.start_next();
    assert_eq!(queue.push_messages(1, message(2)), None);
    assert_eq!(queue.push_messages(2, message(3)), Some(message(3)));
    assert_eq!(queue.complete_in_flight().messages, [(1, message(2))]);
    assert_eq!(queue.push_messages(1, message(4)), Some(message(4)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(44),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    })]

    /// For any order of readies and syncs, the messages of a group are released in order, and none before all earlier
    /// writes of the group are synced.
    #[test]
    fn messages_are_released_in_order_after_their_sync(
        steps in prop::collection::vec((0_u32..3, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut queue = WriteQueue::default();
        let mut written = [0_u64; 3];
        let mut synced = [0_u64; 3];
        let mut released = [0_u64; 3];
        // The group of each message and the number of that group's writes before it. The message's round is the index.
        let mut waits_for: Vec<(u32, u64)> = Vec::new();
        let mut check = |group: u32, messages: GroupMessages, waits: &[(u32, u64)], synced: &[u64; 3]| {
            for (_, message) in messages {
                let Message::HeartbeatReply { round, .. } = message else { unreachable!() };
                let (owner, write_count) = waits[round as usize];
                assert_eq!(owner, group);
                assert!(synced[group as usize] >= write_count, "message released before its sync");
                assert!(released[group as usize] <= round, "messages released out of order");
                released[group as usize] = round;
            }
        };
        let mut sync = |queue: &mut WriteQueue, synced: &mut [u64; 3], waits: &[(u32, u64)]| {
            let after_sync = queue.complete_in_flight();
            for (group, number) in &after_sync.ready_numbers {
                synced[*group as usize] = *number;
            }
            for (group, messages) in after_sync.messages {
                check(group, messages, waits, synced);
            }
            queue.start_next();
        };
        for (group, has_write, has_sync) in steps {
            let count = &mut written[group as usize];
            let round = waits_for.len() as u64;
            if has_write {
                *count += 1;
                waits_for.push((group, *count));
                queue.push(group, ready(*count, vec![entry(*count, 1)]), message(round));
                queue.start_next();
            } else {
                waits_for.push((group, *count));
                if let Some(due) = queue.push_messages(group, message(round)) {
                    prop_assert_eq!(synced[group as usize], *count);
                    prop_assert_eq!(due.len(), 1);
                }
            }
            if has_sync {
                sync(&mut queue, &mut synced, &waits_for);
            }
        }
        while !queue.is_idle() {
            sync(&mut queue, &mut synced, &waits_for);
        }
        prop_assert_eq!(written, synced);
    }
}
