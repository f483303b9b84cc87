//! The newest committed state, held once for all agents.

mod change;
mod content;
pub(crate) mod distribution;
pub(crate) mod interest;

use std::collections::VecDeque;

use sablehaven_types::{BackendId, BackendRecord};
use sablehaven_wire::{StateUpdate, UpdateFit};

use crate::state::{change::Change, content::Content, interest::Interest};

/// Recent changes kept, at most; at one change every 2.7 s they reach back 23 minutes.
const MAXIMUM_HISTORY_CHANGES: usize = 512;

/// Values in the recent changes, at most.
const MAXIMUM_HISTORY_SIZE: usize = 50_000;

/// The newest committed state and the changes that led to it.
#[derive(Debug, Default)]
pub struct RelayState {
    revision: u64,
    configuration_version: u64,
    content: Content,
    history: VecDeque<Change>,
    history_size: usize,
}

impl RelayState {
    /// The revision; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The version of the configuration.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// A back end's record.
    pub fn backend(&self, backend: &BackendId) -> Option<&BackendRecord> {
        self.content.backends.get(backend)
    }

    /// Applies an update from control, if it fits.
    pub fn apply(&mut self, update: StateUpdate) -> UpdateFit {
        let fit = update.fit(self.revision, self.configuration_version);
        if fit != UpdateFit::Applies {
            return fit;
        }
        // Before the first state there is no revision that an agent could be brought forward from.
        if self.revision > 0 {
            let change = Change::of_update(&self.content, self.revision, update.clone());
            self.remember(change);
        }
        self.revision = update.revision;
        self.configuration_version = update.configuration_version;
        self.content.apply(update);
        fit
    }

    /// The update that brings a receiver from revision `from` to the newest, or `None` when it has
    /// that already. The whole state, if the recent changes do not reach back far enough.
    pub fn update_from(&self, from: u64, interest: &Interest) -> Option<StateUpdate> {
        if from >= self.revision {
            return None;
        }
        let merged = self.merged_since(from);
        let delta = merged.filter(|change| change.size() <= self.content.size());
        let update = match delta {
            Some(change) => change.to_update(from, interest),
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

    fn merged_since(&self, from: u64) -> Option<Change> {
        let oldest = self.history.front()?;
        if from < oldest.from_revision {
            return None;
        }
        let mut later = self.history.iter().filter(|change| change.revision > from);
        let mut merged = later.next()?.clone();
        for change in later {
            merged.merge(change);
        }
        Some(merged)
    }

    fn remember(&mut self, change: Change) {
        self.history_size += change.size();
        self.history.push_back(change);
        let too_many = |history: &VecDeque<Change>, size: usize| {
            history.len() > MAXIMUM_HISTORY_CHANGES || size > MAXIMUM_HISTORY_SIZE
        };
        while too_many(&self.history, self.history_size) {
            if let Some(forgotten) = self.history.pop_front() {
                self.history_size -= forgotten.size();
            }
        }
    }
}
