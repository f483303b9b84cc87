//! The state that relays and agents follow; it only moves forward.

use std::collections::BTreeMap;

use sablehaven_wire::StateUpdate;

/// The state at a revision.
#[derive(Clone, Debug, Default)]
pub struct View {
    state: StateUpdate,
}

impl View {
    /// The revision; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.state.revision
    }

    /// The version of the configuration.
    pub fn configuration_version(&self) -> u64 {
        self.state.configuration_version
    }

    /// The whole state, if it is newer than a revision.
    pub fn newer_than(&self, revision: u64) -> Option<StateUpdate> {
        (self.state.revision > revision).then(|| self.state.clone())
    }

    /// Applies an update; an older one, or one that starts elsewhere, changes nothing.
    pub fn update(&mut self, update: StateUpdate) {
        let fits = update.full || update.from_revision == self.state.revision;
        if !fits || update.revision <= self.state.revision {
            return;
        }
        if update.full {
            self.state = update;
            return;
        }
        self.state.revision = update.revision;
        self.state.configuration_version = update.configuration_version;
        if update.schema.is_some() {
            self.state.schema = update.schema;
        }
        merge(&mut self.state.services, update.services);
        merge(&mut self.state.backends, update.backends);
        self.state
            .agents_per_service
            .extend(update.agents_per_service);
    }
}

fn merge<Key: Ord, Value>(
    state: &mut BTreeMap<Key, Option<Value>>,
    changes: BTreeMap<Key, Option<Value>>,
) {
    for (key, value) in changes {
        match value {
            Some(value) => state.insert(key, Some(value)),
            None => state.remove(&key),
        };
    }
}
