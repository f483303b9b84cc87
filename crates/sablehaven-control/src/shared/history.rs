//! Which keys changed at which revision, in bounded form, so that relays get deltas.

use std::collections::{BTreeSet, VecDeque};

use sablehaven_types::{BackendId, ServiceName};

/// Changes that are kept; a relay that is further behind gets the whole state.
const CHANGE_LIMIT: usize = 1_024;

/// What an update must carry; the values are taken from the state when it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ChangeKeys {
    /// Whether the configuration's version changed (perhaps with nothing else).
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

#[derive(Clone, Debug, Default)]
pub(super) struct ChangeHistory {
    /// Every change after this revision is in `changes`.
    floor: u64,
    changes: VecDeque<(u64, ChangeKeys)>,
}

impl ChangeHistory {
    /// A history without changes, complete from a revision on.
    pub(super) fn starting_at(revision: u64) -> Self {
        Self {
            floor: revision,
            changes: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, revision: u64, keys: ChangeKeys) {
        self.changes.push_back((revision, keys));
        while self.changes.len() > CHANGE_LIMIT {
            if let Some((forgotten, _)) = self.changes.pop_front() {
                self.floor = forgotten;
            }
        }
    }

    /// Every key that changed after a revision, or `None` if that is no longer known.
    ///
    /// A revision that is not one of this history's (0 included) gets `None`: a delta is sound only
    /// on top of a state that this log made.
    pub(super) fn since(&self, revision: u64) -> Option<ChangeKeys> {
        let is_known = revision == self.floor
            || self
                .changes
                .binary_search_by_key(&revision, |(each, _)| *each)
                .is_ok();
        if revision == 0 || !is_known {
            return None;
        }
        let mut keys = ChangeKeys::default();
        let start = self.changes.partition_point(|(each, _)| *each <= revision);
        for (_, change) in self.changes.range(start..) {
            keys.merge(change);
        }
        Some(keys)
    }
}
