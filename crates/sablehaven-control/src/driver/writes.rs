//! The queue of writes from the readies of all groups. Writes are batched so that the groups share one sync.

use std::collections::{BTreeMap, VecDeque};

use sablehaven_consensus::{Entry, HardState, Message, ReplicaId, Snapshot};
use sablehaven_storage::GroupWrite;

/// Messages of one group, which must not be sent before a sync.
pub(crate) type GroupMessages = Vec<(ReplicaId, Message)>;

/// What must be done once a batch is synced.
#[derive(Debug, Default)]
pub(crate) struct AfterSync {
    /// The number of the latest ready in the batch, by group.
    pub(crate) ready_numbers: BTreeMap<u32, u64>,
    /// Messages that waited for the sync, by group, in order.
    pub(crate) messages: Vec<(u32, GroupMessages)>,
}

/// A batch of writes, with at most one for each group.
#[derive(Debug, Default)]
struct Batch {
    writes: BTreeMap<u32, GroupWrite>,
    after_sync: AfterSync,
}

/// Queued batches, oldest first, and the batch that is being written.
///
/// Writes reach the disk in the order of their readies. A message that waits for a sync is released only after the sync
/// of the batch with its own ready or, if that ready has no writes, with the latest earlier ready of the group that has
/// any. Otherwise a crash could undo a vote or an acknowledgement that was already sent, and a committed entry could be
/// lost.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    waiting: VecDeque<Batch>,
    in_flight: Option<AfterSync>,
}

/// The writes of one ready.
#[derive(Debug)]
pub(crate) struct ReadyWrite {
    pub(crate) number: u64,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) snapshot: Option<Snapshot>,
}

impl WriteQueue {
    /// Queues the writes of a ready with the messages that wait for them.
    pub(crate) fn push(&mut self, group: u32, write: ReadyWrite, messages: GroupMessages) {
        let fits = self.waiting.back().is_some_and(|batch| {
            let queued = batch.writes.get(&group);
            queued.is_none_or(|queued| can_merge(queued, &write))
        });
        if !fits {
            self.waiting.push_back(Batch::default());
        }
        if let Some(batch) = self.waiting.back_mut() {
            batch.add_ready(group, write, messages);
        }
    }

    /// Queues the messages of a ready without writes. Returns them if no earlier write of the group is pending, in
    /// which case they can be sent immediately.
    pub(crate) fn push_messages(
        &mut self,
        group: u32,
        messages: GroupMessages,
    ) -> Option<GroupMessages> {
        let latest = self.waiting.iter_mut().rev();
        let mut batches = latest.filter(|batch| batch.writes.contains_key(&group));
        if let Some(batch) = batches.next() {
            batch.after_sync.messages.push((group, messages));
            return None;
        }
        match &mut self.in_flight {
            Some(after_sync) if after_sync.ready_numbers.contains_key(&group) => {
                after_sync.messages.push((group, messages));
                None
            }
            _ => Some(messages),
        }
    }

    /// Removes and returns the next batch to write, unless one is being written.
    pub(crate) fn start_next(&mut self) -> Option<Vec<GroupWrite>> {
        if self.in_flight.is_some() {
            return None;
        }
        let batch = self.waiting.pop_front()?;
        self.in_flight = Some(batch.after_sync);
        Some(batch.writes.into_values().collect())
    }

    /// Records that the batch that was being written is synced, and returns what must be done now.
    pub(crate) fn complete_in_flight(&mut self) -> AfterSync {
        self.in_flight.take().unwrap_or_default()
    }

    /// Whether no write is queued or in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.waiting.is_empty()
    }
}

/// Whether a write can be merged into a queued one of the same group. A snapshot replaces the whole log, so its write
/// is never merged.
fn can_merge(queued: &GroupWrite, write: &ReadyWrite) -> bool {
    queued.snapshot.is_none() && write.snapshot.is_none()
}

impl Batch {
    /// Adds the writes and messages of a ready, merging the writes into those of the group's earlier readies.
    fn add_ready(&mut self, group: u32, write: ReadyWrite, messages: GroupMessages) {
        self.after_sync.ready_numbers.insert(group, write.number);
        if !messages.is_empty() {
            self.after_sync.messages.push((group, messages));
        }
        let queued = self.writes.entry(group).or_insert_with(|| GroupWrite {
            group,
            ..GroupWrite::default()
        });
        queued.hard_state = write.hard_state.or(queued.hard_state);
        queued.snapshot = write.snapshot.or(queued.snapshot.take());
        replace_tail(&mut queued.entries, write.entries);
    }
}

/// Appends new entries after removing the old ones from the first new entry's index on.
fn replace_tail(entries: &mut Vec<Entry>, new: Vec<Entry>) {
    let Some(first) = new.first() else {
        return;
    };
    let kept = entries.partition_point(|entry| entry.index < first.index);
    entries.truncate(kept);
    entries.extend(new);
}

#[cfg(test)]
mod tests;
