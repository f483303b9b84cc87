//! The difference between two revisions of the state, kept to update agents from a recent revision.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{BackendId, BackendRecord, SchemaSource, ServiceConfiguration, ServiceName};
use sablehaven_wire::StateUpdate;

use crate::state::{content::Content, interest::Interest};

/// The difference between two revisions.
///
/// Each entry holds the new value, not a delta. A change can therefore also be applied to a state
/// between its two revisions, and two consecutive changes merge by overwriting.
#[derive(Clone, Debug, Default)]
pub(crate) struct Change {
    pub(crate) from_revision: u64,
    pub(crate) revision: u64,
    pub(crate) configuration_version: u64,
    schema: Option<SchemaSource>,
    services: BTreeMap<ServiceName, Option<ServiceConfiguration>>,
    backends: BTreeMap<BackendId, BackendChange>,
    agents_per_service: BTreeMap<ServiceName, u32>,
}

#[derive(Clone, Debug, Default)]
struct BackendChange {
    /// The services that the back end belonged to before and after the change.
    services: BTreeSet<ServiceName>,
    record: Option<BackendRecord>,
}

impl Change {
    /// Computes the change that an update makes to `before`.
    pub(crate) fn from_update(before: &Content, from_revision: u64, update: StateUpdate) -> Self {
        if update.full {
            return Self::from_full_update(before, from_revision, update);
        }
        let backends = update.backends.into_iter().map(|(backend, record)| {
            let change = BackendChange::new(before.backends.get(&backend), record);
            (backend, change)
        });
        Self {
            from_revision,
            revision: update.revision,
            configuration_version: update.configuration_version,
            schema: update.schema,
            services: update.services,
            backends: backends.collect(),
            agents_per_service: update.agents_per_service,
        }
    }

    /// Merges a later change into this one.
    pub(crate) fn merge(&mut self, later: &Change) {
        self.revision = later.revision;
        self.configuration_version = later.configuration_version;
        if later.schema.is_some() {
            self.schema.clone_from(&later.schema);
        }
        let services = later.services.clone();
        self.services.extend(services);
        for (backend, change) in &later.backends {
            let merged = self.backends.entry(backend.clone()).or_default();
            merged.services.extend(change.services.iter().cloned());
            merged.record.clone_from(&change.record);
        }
        let agents_per_service = later.agents_per_service.clone();
        self.agents_per_service.extend(agents_per_service);
    }

    /// Number of changed values.
    pub(crate) fn value_count(&self) -> usize {
        usize::from(self.schema.is_some())
            + self.services.len()
            + self.backends.len()
            + self.agents_per_service.len()
    }

    /// Builds the update for a receiver at `from_revision` with the given interest.
    pub(crate) fn to_update(&self, from_revision: u64, interest: &Interest) -> StateUpdate {
        let services = self.services.iter();
        let services = services.filter(|(service, _)| interest.includes(service));
        let backends = self.backends.iter();
        let backends = backends.filter_map(|(backend, change)| {
            let record = change.record_for(interest)?;
            Some((backend.clone(), record))
        });
        let agents_per_service = self.agents_per_service.iter();
        let agents_per_service =
            agents_per_service.filter(|(service, _)| interest.includes(service));
        StateUpdate {
            full: false,
            from_revision,
            revision: self.revision,
            configuration_version: self.configuration_version,
            schema: self.schema.clone(),
            services: services
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            backends: backends.collect(),
            agents_per_service: agents_per_service
                .map(|(key, value)| (key.clone(), *value))
                .collect(),
        }
    }

    /// Computes the difference between `before` and a full update.
    fn from_full_update(before: &Content, from_revision: u64, update: StateUpdate) -> Self {
        let services = diff(&before.services, update.services);
        let backends = diff(&before.backends, update.backends);
        let backends = backends.into_iter().map(|(backend, record)| {
            let change = BackendChange::new(before.backends.get(&backend), record);
            (backend, change)
        });
        let counts = update.agents_per_service.into_iter();
        let counts = counts.map(|(service, count)| (service, Some(count)));
        let counts = diff(&before.agents_per_service, counts.collect());
        let counts = counts.into_iter();
        let counts = counts.map(|(service, count)| (service, count.unwrap_or(0)));
        Self {
            from_revision,
            revision: update.revision,
            configuration_version: update.configuration_version,
            schema: update
                .schema
                .filter(|schema| before.schema.as_ref() != Some(schema)),
            services,
            backends: backends.collect(),
            agents_per_service: counts.collect(),
        }
    }
}

impl BackendChange {
    fn new(before: Option<&BackendRecord>, record: Option<BackendRecord>) -> Self {
        let records = before.into_iter().chain(&record);
        Self {
            services: records.map(|record| record.service.clone()).collect(),
            record,
        }
    }

    /// The new record to send to a receiver, or `None` if the receiver's interest does not cover
    /// this back end. If the back end has left the services in the receiver's interest, the result
    /// is `Some(None)`, which removes it there.
    fn record_for(&self, interest: &Interest) -> Option<Option<BackendRecord>> {
        let is_concerned = self
            .services
            .iter()
            .any(|service| interest.includes(service));
        if !is_concerned {
            return None;
        }
        let record = self.record.as_ref();
        let record = record.filter(|record| interest.includes(&record.service));
        Some(record.cloned())
    }
}

/// Keys whose values differ, with their new values; `None` stands for a removed key.
fn diff<Key: Ord + Clone, Value: PartialEq>(
    before: &BTreeMap<Key, Value>,
    after: BTreeMap<Key, Option<Value>>,
) -> BTreeMap<Key, Option<Value>> {
    let removed = before.keys().filter(|key| !after.contains_key(key));
    let mut changed: BTreeMap<Key, Option<Value>> =
        removed.map(|key| (key.clone(), None)).collect();
    let differs = |(key, value): &(Key, Option<Value>)| before.get(key) != value.as_ref();
    changed.extend(after.into_iter().filter(differs));
    changed
}
