//! The members at each point of the log that is still held.

use crate::{Entry, EntryPayload, Membership};

#[derive(Clone, Debug)]
struct Since {
    index: u64,
    membership: Membership,
}

/// The members at the log's base and after each later entry that changes them.
#[derive(Clone, Debug)]
pub(crate) struct MembershipHistory {
    base: Since,
    changes: Vec<Since>,
}

impl MembershipHistory {
    pub(crate) fn new(base_index: u64, membership: Membership) -> Self {
        Self {
            base: Since {
                index: base_index,
                membership,
            },
            changes: Vec::new(),
        }
    }

    /// The members in force: the last ones in the log, committed or not.
    pub(crate) fn current(&self) -> &Membership {
        &self.latest().membership
    }

    /// Where the members in force stand, or an index before that where it was compacted.
    pub(crate) fn current_index(&self) -> u64 {
        self.latest().index
    }

    fn latest(&self) -> &Since {
        self.changes.last().unwrap_or(&self.base)
    }

    /// The members at an index from the base on.
    pub(crate) fn at(&self, index: u64) -> &Membership {
        let change = self.changes.iter().rev().find(|since| since.index <= index);
        &change.unwrap_or(&self.base).membership
    }

    /// Takes the members out of an entry that was appended.
    pub(crate) fn appended(&mut self, entry: &Entry) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.changes.push(Since {
                index: entry.index,
                membership: membership.clone(),
            });
        }
    }

    /// The entries from an index on were dropped.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.changes.retain(|since| since.index < from);
    }

    /// The entries up to an index were compacted.
    pub(crate) fn compact(&mut self, index: u64) {
        let compacted = self.changes.partition_point(|since| since.index <= index);
        if let Some(last) = self.changes.drain(..compacted).next_back() {
            self.base = last;
        }
    }
}
