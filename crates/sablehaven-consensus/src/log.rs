//! The entries that a replica holds in memory, and how far they are synced, committed and
//! delivered.

use std::collections::VecDeque;

use crate::{Entry, EntryPayload, Position};

/// Size that counts for each entry in addition to its command, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 32;

/// A committed entry that conflicts with a message from a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CommittedConflict {
    pub(crate) index: u64,
}

/// A write that was passed to storage and is not synced yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingWrite {
    number: u64,
    last_index: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Log {
    /// Position of the entry before the first one held.
    base: Position,
    entries: VecDeque<Entry>,
    commit: u64,
    delivered_index: u64,
    /// Index of the last synced entry. An entry that was replaced after it was written does not
    /// count.
    stable: u64,
    /// Index of the first entry that was not yet passed to storage.
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
    /// Creates a log with the contents of the disk. All entries are synced, but only the snapshot
    /// is known to be committed.
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

    /// Returns the term at an index, which may be the base or a held entry.
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

    /// Returns the entries with indexes `from` to `to`, up to a total size of `max_bytes`. The
    /// first entry is returned even if it is larger.
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

    /// Appends an entry, whose index must be the next one.
    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from index `from` on, which must be after the commit index.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(keep);
        self.unsaved_from = self.unsaved_from.min(from);
        self.cap_synced_index(from - 1);
    }

    /// Lowers the synced index, and the last index of outstanding writes, to at most `last_index`.
    /// The entries after it are no longer in the log, and the sync of a write that contains them
    /// must not count for the entries that replace them.
    fn cap_synced_index(&mut self, last_index: u64) {
        self.stable = self.stable.min(last_index);
        for write in &mut self.outstanding {
            write.last_index = write.last_index.min(last_index);
        }
    }

    /// Returns the offset of the first of these entries that the log lacks or conflicts with. A
    /// conflict with a committed entry is an error.
    pub(crate) fn first_new_entry(
        &self,
        entries: &[Entry],
    ) -> Result<Option<usize>, CommittedConflict> {
        let is_new = |entry: &Entry| self.term_at(entry.index) != Some(entry.term);
        // Entries up to the base are committed and therefore equal, by the log's invariant.
        let is_compacted = |entry: &Entry| entry.index <= self.base.index;
        let found = entries
            .iter()
            .position(|entry| !is_compacted(entry) && is_new(entry));
        match found {
            Some(offset) if entries[offset].index <= self.commit => Err(CommittedConflict {
                index: entries[offset].index,
            }),
            found => Ok(found),
        }
    }

    /// Returns the last position at or before `position` that this log may share with a log that
    /// contains `position`. Terms never decrease along a log, so an entry of a later term cannot be
    /// shared. Returns `None` if the position is compacted.
    pub(crate) fn last_possible_match(&self, position: Position) -> Option<Position> {
        let mut index = position.index.min(self.last().index);
        loop {
            let term = self.term_at(index)?;
            if term <= position.term {
                return Some(Position { index, term });
            }
            index = index.checked_sub(1)?;
        }
    }

    pub(crate) fn commit_to(&mut self, index: u64) -> bool {
        let index = index.min(self.last().index);
        let advanced = index > self.commit;
        self.commit = self.commit.max(index);
        advanced
    }

    /// Returns the entries to write. They replace everything in storage from the first one's index
    /// on.
    pub(crate) fn take_unsaved(&mut self) -> Vec<Entry> {
        let last = self.last().index;
        let unsaved = self.slice(self.unsaved_from, last, u64::MAX);
        self.unsaved_from = last + 1;
        unsaved
    }

    /// Returns the next committed entries to apply. Only synced entries are returned, so that the
    /// applied state can be rebuilt from this replica's own disk.
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

    /// Returns whether [`Self::take_committed`] would return more entries.
    pub(crate) fn has_committed(&self) -> bool {
        self.commit.min(self.stable) > self.delivered_index
    }

    /// Records that a write of all entries up to the last one was passed to storage.
    pub(crate) fn record_write(&mut self, number: u64) {
        let last_index = self.last().index;
        self.outstanding
            .push_back(OutstandingWrite { number, last_index });
    }

    /// Records that the writes up to this number are synced.
    pub(crate) fn persisted(&mut self, number: u64) {
        while let Some(write) = self.outstanding.front()
            && write.number <= number
        {
            self.stable = self.stable.max(write.last_index);
            self.outstanding.pop_front();
        }
    }

    /// Drops the entries up to `index` from memory, except for those that were not delivered yet.
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

    /// Replaces the whole log by a snapshot at `base`. The snapshot counts as synced only once the
    /// write that contains it is synced.
    pub(crate) fn reset(&mut self, base: Position) {
        self.entries.clear();
        self.base = base;
        self.commit = base.index;
        self.delivered_index = base.index;
        self.unsaved_from = base.index + 1;
        self.cap_synced_index(0);
    }
}

#[cfg(test)]
mod tests;
