//! The entries that a replica holds in memory, and how far they are synced, committed and handed out.

use std::collections::VecDeque;

use crate::{Entry, EntryPayload, Position};

/// Counted for each entry besides its command, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 32;

/// A committed entry that a leader's message contradicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CommittedConflict {
    pub(crate) index: u64,
}

/// A write that was handed to storage and is not synced yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingWrite {
    number: u64,
    last_index: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Log {
    /// The entry before the first one held.
    base: Position,
    entries: VecDeque<Entry>,
    commit: u64,
    delivered_index: u64,
    /// Synced up to here. Never counts an entry that was replaced after it was written.
    stable: u64,
    /// The first entry that storage was not given yet.
    unsaved_from: u64,
    outstanding: VecDeque<OutstandingWrite>,
}

pub(crate) fn entry_bytes(entry: &Entry) -> u64 {
    let payload = match &entry.payload {
        EntryPayload::Command(command) => command.len() as u64,
        EntryPayload::Empty | EntryPayload::Membership(_) => 0,
    };
    payload + ENTRY_OVERHEAD_BYTES
}

impl Log {
    /// The log as the disk holds it: everything is synced, only the snapshot is known committed.
    pub(crate) fn restored(base: Position, entries: Vec<Entry>) -> Self {
        let last_index = entries.last().map_or(base.index, |entry| entry.index);
        Self {
            base,
            entries: entries.into(),
            commit: base.index,
            delivered_index: base.index,
            stable: last_index,
            unsaved_from: last_index + 1,
            outstanding: VecDeque::new(),
        }
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.base.index + 1
    }

    pub(crate) fn last(&self) -> Position {
        match self.entries.back() {
            Some(entry) => Position {
                index: entry.index,
                term: entry.term,
            },
            None => self.base,
        }
    }

    pub(crate) fn commit(&self) -> u64 {
        self.commit
    }

    pub(crate) fn delivered_index(&self) -> u64 {
        self.delivered_index
    }

    pub(crate) fn stable(&self) -> u64 {
        self.stable
    }

    /// The term at an index, from the base on.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn contains(&self, position: Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on, at least one where there is one, at most `max_bytes` of them.
    pub(crate) fn slice(&self, from: u64, to: u64, max_bytes: u64) -> Vec<Entry> {
        let offset = from.saturating_sub(self.first_index()) as usize;
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(offset) {
            bytes += entry_bytes(entry);
            let is_full = bytes > max_bytes && !slice.is_empty();
            if entry.index > to || is_full {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Appends one entry; its index must be the next one.
    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops entries from an index on; the index lies after the commit index.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(keep);
        self.unsaved_from = self.unsaved_from.min(from);
        self.forget_writes(from - 1);
    }

    /// A write under way that ends after `last_index` wrote entries that are no longer in the log;
    /// its sync must not count for the ones that replace them.
    fn forget_writes(&mut self, last_index: u64) {
        self.stable = self.stable.min(last_index);
        for write in &mut self.outstanding {
            write.last_index = write.last_index.min(last_index);
        }
    }

    /// The first of these entries that the log lacks or contradicts.
    pub(crate) fn first_new(&self, entries: &[Entry]) -> Result<Option<usize>, CommittedConflict> {
        let is_new = |entry: &Entry| self.term_at(entry.index) != Some(entry.term);
        // What lies before the base is committed and equal by the log's invariant.
        let known = |entry: &Entry| entry.index <= self.base.index;
        let found = entries
            .iter()
            .position(|entry| !known(entry) && is_new(entry));
        match found {
            Some(offset) if entries[offset].index <= self.commit => Err(CommittedConflict {
                index: entries[offset].index,
            }),
            found => Ok(found),
        }
    }

    /// The last place at or before `place` that may be shared with a log that has `place`: terms
    /// never fall along a log, so an entry of a later term cannot be. None if it is compacted away.
    pub(crate) fn last_shared_candidate(&self, place: Position) -> Option<Position> {
        let mut index = place.index.min(self.last().index);
        loop {
            let term = self.term_at(index)?;
            if term <= place.term {
                return Some(Position { index, term });
            }
            index = index.checked_sub(1)?;
        }
    }

    pub(crate) fn commit_to(&mut self, index: u64) -> bool {
        let index = index.min(self.last().index);
        let moved = index > self.commit;
        self.commit = self.commit.max(index);
        moved
    }

    /// Entries that storage must write, replacing what it holds from the first one's index on.
    pub(crate) fn take_unsaved(&mut self) -> Vec<Entry> {
        let last = self.last().index;
        let unsaved = self.slice(self.unsaved_from, last, u64::MAX);
        self.unsaved_from = last + 1;
        unsaved
    }

    /// Entries to be applied. Only synced ones, so that what was applied can be rebuilt from this
    /// replica's own disk.
    pub(crate) fn take_committed(&mut self, max_bytes: u64) -> Vec<Entry> {
        let to = self.commit.min(self.stable);
        if to <= self.delivered_index {
            return Vec::new();
        }
        let committed = self.slice(self.delivered_index + 1, to, max_bytes);
        if let Some(entry) = committed.last() {
            self.delivered_index = entry.index;
        }
        committed
    }

    /// Whether [`Self::take_committed`] would hand out more.
    pub(crate) fn has_committed(&self) -> bool {
        self.commit.min(self.stable) > self.delivered_index
    }

    /// Notes that a write of everything up to the last entry was handed out.
    pub(crate) fn record_write(&mut self, number: u64) {
        let last_index = self.last().index;
        self.outstanding
            .push_back(OutstandingWrite { number, last_index });
    }

    /// The writes up to this number are synced.
    pub(crate) fn persisted(&mut self, number: u64) {
        while let Some(write) = self.outstanding.front()
            && write.number <= number
        {
            self.stable = self.stable.max(write.last_index);
            self.outstanding.pop_front();
        }
    }

    /// Drops entries up to an index from memory.
    pub(crate) fn compact(&mut self, index: u64) {
        let index = index.min(self.delivered_index);
        while let Some(entry) = self.entries.front()
            && entry.index <= index
        {
            self.base = Position {
                index: entry.index,
                term: entry.term,
            };
            self.entries.pop_front();
        }
    }

    /// Replaces everything by a snapshot that stands at `base`. It counts as synced only when the
    /// write that carries it is.
    pub(crate) fn reset(&mut self, base: Position) {
        self.entries.clear();
        self.base = base;
        self.commit = base.index;
        self.delivered_index = base.index;
        self.unsaved_from = base.index + 1;
        self.forget_writes(0);
    }
}

#[cfg(test)]
mod tests;
