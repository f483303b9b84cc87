//! The membership at each index of the log that is still held.

use crate::{Entry, EntryPayload, Membership};

#[derive(Clone, Debug)]
struct MembershipAt {
    index: u64,
    membership: Membership,
}

/// The membership at the log's base, and after each later entry that changes it.
#[derive(Clone, Debug)]
pub(crate) struct MembershipHistory {
    base: MembershipAt,
    changes: Vec<MembershipAt>,
}

impl MembershipHistory {
    pub(crate) fn new(base_index: u64, membership: Membership) -> Self {
        Self {
            base: MembershipAt {
                index: base_index,
                membership,
            },
            changes: Vec::new(),
        }
    }

    /// Returns the membership in effect: the last one in the log, committed or not.
    pub(crate) fn current(&self) -> &Membership {
        &self.latest().membership
    }

    /// Returns the index of the entry with the membership in effect, or of the snapshot from which
    /// that membership was restored.
    pub(crate) fn current_index(&self) -> u64 {
        self.latest().index
    }

    fn latest(&self) -> &MembershipAt {
        self.changes.last().unwrap_or(&self.base)
    }

    /// Returns the membership at an index, which must not be before the base.
    pub(crate) fn at(&self, index: u64) -> &Membership {
        let change = self
            .changes
            .iter()
            .rev()
            .find(|change| change.index <= index);
        &change.unwrap_or(&self.base).membership
    }

    /// Records the membership of an appended entry, if it contains one.
    pub(crate) fn record_entry(&mut self, entry: &Entry) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.changes.push(MembershipAt {
                index: entry.index,
                membership: membership.clone(),
            });
        }
    }

    /// Drops the memberships of the entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.changes.retain(|change| change.index < from);
    }

    /// Drops the memberships up to `index`, except for the last one, which becomes the base.
    pub(crate) fn compact(&mut self, index: u64) {
        let compacted = self.changes.partition_point(|change| change.index <= index);
        if let Some(last) = self.changes.drain(..compacted).next_back() {
            self.base = last;
        }
    }
}
