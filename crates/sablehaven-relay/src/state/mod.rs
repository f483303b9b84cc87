//! The latest committed state, held once for all agents.

mod change;
mod content;
pub(crate) mod distribution;
pub(crate) mod interest;

use std::collections::VecDeque;

use sablehaven_types::{BackendId, BackendRecord};
use sablehaven_wire::{StateUpdate, UpdateCheck};

use crate::state::{change::Change, content::Content, interest::Interest};

/// Maximum number of recent changes kept. At one change every 2.7 s, they cover 23 minutes.
const MAX_HISTORY_CHANGES: usize = 512;

/// Maximum total number of values in the recent changes.
const MAX_HISTORY_VALUES: usize = 50_000;

/// The latest committed state and the recent changes that led to it.
#[derive(Debug, Default)]
pub struct RelayState {
    revision: u64,
    configuration_version: u64,
    content: Content,
    history: VecDeque<Change>,
    history_value_count: usize,
}

impl RelayState {
    /// The revision; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Version of the configuration.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// The record of a back end.
    pub fn backend(&self, backend: &BackendId) -> Option<&BackendRecord> {
        self.content.backends.get(backend)
    }

    /// Applies an update from control if [`StateUpdate::check`] allows it.
    pub fn apply(&mut self, update: StateUpdate) -> UpdateCheck {
        let check = update.check(self.revision, self.configuration_version);
        if check != UpdateCheck::Applies {
            return check;
        }
        // Before the first update there is no revision that an agent could be updated from.
        if self.revision > 0 {
            let change = Change::from_update(&self.content, self.revision, update.clone());
            self.push_history(change);
        }
        self.revision = update.revision;
        self.configuration_version = update.configuration_version;
        self.content.apply(update);
        check
    }

    /// The update for a receiver at `from_revision`, or `None` if it already has the latest
    /// revision. The update contains the full state if the recent changes do not reach back far
    /// enough or contain more values than the full state.
    pub fn update_from(&self, from_revision: u64, interest: &Interest) -> Option<StateUpdate> {
        if from_revision >= self.revision {
            return None;
        }
        let merged = self.merged_changes_since(from_revision);
        let delta = merged.filter(|change| change.value_count() <= self.content.value_count());
        let update = match delta {
            Some(change) => change.to_update(from_revision, interest),
            None => self.full_update(interest),
        };
        Some(update)
    }

    fn full_update(&self, interest: &Interest) -> StateUpdate {
        StateUpdate {
            revision: self.revision,
            configuration_version: self.configuration_version,
            ..self.content.to_full_update(interest)
        }
    }

    fn merged_changes_since(&self, from_revision: u64) -> Option<Change> {
        let oldest = self.history.front()?;
        if from_revision < oldest.from_revision {
            return None;
        }
        let mut later = self
            .history
            .iter()
            .filter(|change| change.revision > from_revision);
        let mut merged = later.next()?.clone();
        for change in later {
            merged.merge(change);
        }
        Some(merged)
    }

    fn push_history(&mut self, change: Change) {
        self.history_value_count += change.value_count();
        self.history.push_back(change);
        let too_many = |history: &VecDeque<Change>, value_count: usize| {
            history.len() > MAX_HISTORY_CHANGES || value_count > MAX_HISTORY_VALUES
        };
        while too_many(&self.history, self.history_value_count) {
            if let Some(removed) = self.history.pop_front() {
                self.history_value_count -= removed.value_count();
            }
        }
    }
}
