//! A bounded history of the keys that changed at each revision, from which updates for relays are built as deltas.

use std::collections::{BTreeSet, VecDeque};

use sablehaven_types::{BackendId, ServiceName};

/// Maximum number of revisions in the history. A relay that is further behind gets a full update.
const MAX_CHANGES: usize = 1_024;

/// The keys that an update must contain. Their values are read from the state when the update is built.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ChangeKeys {
    /// Whether the configuration's version changed, possibly without any other change.
    pub(super) version: bool,
    pub(super) schema: bool,
    pub(super) services: BTreeSet<ServiceName>,
    pub(super) backends: BTreeSet<BackendId>,
    pub(super) watchers: BTreeSet<ServiceName>,
}

impl ChangeKeys {
    pub(super) fn is_empty(&self) -> bool {
        !self.version
            && !self.schema
            && self.services.is_empty()
            && self.backends.is_empty()
            && self.watchers.is_empty()
    }

    fn merge(&mut self, other: &Self) {
        self.version |= other.version;
        self.schema |= other.schema;
        self.services.extend(other.services.iter().cloned());
        self.backends.extend(other.backends.iter().cloned());
        self.watchers.extend(other.watchers.iter().cloned());
    }
}

/// The changed keys of the latest revisions, in order of revision.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeHistory {
    /// `changes` contains every change after this revision.
    complete_since: u64,
    changes: VecDeque<(u64, ChangeKeys)>,
}

impl ChangeHistory {
    /// An empty history that is complete for all changes after this revision.
    pub(super) fn starting_at(revision: u64) -> Self {
        Self {
            complete_since: revision,
            changes: VecDeque::new(),
        }
    }

    /// Adds the keys that changed at a revision, which must be higher than all before it.
    pub(super) fn record(&mut self, revision: u64, keys: ChangeKeys) {
        self.changes.push_back((revision, keys));
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_since = dropped;
            }
        }
    }

    /// All keys that changed after a revision, or `None` if the history does not reach back to it.
    ///
    /// Also returns `None` for a revision that is not part of this history, including 0: a delta is correct only on top of
    /// a state that results from this log.
    pub(super) fn changes_since(&self, revision: u64) -> Option<ChangeKeys> {
        let is_known = revision == self.complete_since
            || self
                .changes
                .binary_search_by_key(&revision, |(recorded, _)| *recorded)
                .is_ok();
        if revision == 0 || !is_known {
            return None;
        }
        let mut keys = ChangeKeys::default();
        let start = self
            .changes
            .partition_point(|(recorded, _)| *recorded <= revision);
        for (_, change) in self.changes.range(start..) {
            keys.merge(change);
        }
        Some(keys)
    }
}
