//! The values of the state, without its revision and configuration version.

use std::collections::BTreeMap;

use sablehaven_types::{BackendId, BackendRecord, SchemaSource, ServiceConfiguration, ServiceName};
use sablehaven_wire::StateUpdate;

use crate::state::interest::Interest;

/// The values of the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Content {
    pub(crate) schema: Option<SchemaSource>,
    pub(crate) services: BTreeMap<ServiceName, ServiceConfiguration>,
    pub(crate) backends: BTreeMap<BackendId, BackendRecord>,
    pub(crate) agents_per_service: BTreeMap<ServiceName, u32>,
}

impl Content {
    /// Applies an update. The caller has checked with [`StateUpdate::check`] that it applies.
    pub(crate) fn apply(&mut self, update: StateUpdate) {
        if update.full {
            *self = Self::default();
        }
        if update.schema.is_some() {
            self.schema = update.schema;
        }
        apply_changes(&mut self.services, update.services);
        apply_changes(&mut self.backends, update.backends);
        self.agents_per_service.extend(update.agents_per_service);
    }

    /// Number of values.
    pub(crate) fn value_count(&self) -> usize {
        usize::from(self.schema.is_some())
            + self.services.len()
            + self.backends.len()
            + self.agents_per_service.len()
    }

    /// Builds a full update for the given interest. The caller sets the revision and the
    /// configuration version.
    pub(crate) fn to_full_update(&self, interest: &Interest) -> StateUpdate {
        let services = self.services.iter();
        let services = services.filter(|(service, _)| interest.includes(service));
        let backends = self.backends.iter();
        let backends = backends.filter(|(_, record)| interest.includes(&record.service));
        let counts = self.agents_per_service.iter();
        let counts = counts.filter(|(service, _)| interest.includes(service));
        StateUpdate {
            full: true,
            schema: self.schema.clone(),
            services: services
                .map(|(key, value)| (key.clone(), Some(value.clone())))
                .collect(),
            backends: backends
                .map(|(key, value)| (key.clone(), Some(value.clone())))
                .collect(),
            agents_per_service: counts.map(|(key, value)| (key.clone(), *value)).collect(),
            ..StateUpdate::default()
        }
    }
}

fn apply_changes<Key: Ord, Value>(
    values: &mut BTreeMap<Key, Value>,
    changes: BTreeMap<Key, Option<Value>>,
) {
    for (key, change) in changes {
        match change {
            Some(value) => values.insert(key, value),
            None => values.remove(&key),
        };
    }
}
