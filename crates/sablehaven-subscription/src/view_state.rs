//! Applies updates and hints to the state in force. The state never reverts to an older revision.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sablehaven_types::{
    BackendId, BackendRecord, BackendState, Observation, ObservationKind, ServiceConfiguration,
    ServiceName,
};
use sablehaven_wire::{StateUpdate, UpdateCheck};

use crate::View;

/// Maximum number of hints. Further hints are ignored; the change arrives later as an update from
/// control.
const MAXIMUM_HINTS: usize = 10_000;

/// The state in force, and the hints that modify the view of it.
///
/// A hint is a report that a back end is draining, received before the update from control.
#[derive(Clone, Debug)]
pub struct ViewState {
    committed: View,
    hints: BTreeMap<BackendId, Hint>,
    hint_lifetime: Duration,
}

#[derive(Clone, Debug)]
struct Hint {
    service: ServiceName,
    incarnation: u64,
    expires_at: Duration,
}

impl ViewState {
    /// Creates the state before the first update.
    pub fn new(hint_lifetime: Duration) -> Self {
        Self {
            committed: View::default(),
            hints: BTreeMap::new(),
            hint_lifetime,
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.committed.revision
    }

    /// Returns the configuration version in force.
    pub fn configuration_version(&self) -> u64 {
        self.committed.configuration_version
    }

    /// Applies an update from a relay if [`StateUpdate::check`] allows it.
    pub fn apply(&mut self, update: StateUpdate) -> UpdateCheck {
        let committed = &self.committed;
        let check = update.check(committed.revision, committed.configuration_version);
        if check != UpdateCheck::Applies {
            return check;
        }
        if update.full {
            self.committed = View::default();
        }
        self.apply_changes(update);
        self.remove_superseded_hints();
        UpdateCheck::Applies
    }

    /// Applies an observation to the view as a hint. Returns whether the view changed.
    ///
    /// Only the observation that a back end has declared itself as draining is used. Other
    /// observations are evidence that control evaluates.
    pub fn apply_hint(&mut self, observation: &Observation, now: Duration) -> bool {
        if observation.kind != ObservationKind::Draining || self.hints.len() >= MAXIMUM_HINTS {
            return false;
        }
        let Some(record) = self.find(&observation.service, &observation.backend) else {
            return false;
        };
        if !is_hint_applicable(record, observation.incarnation) {
            return false;
        }
        let hint = Hint {
            service: observation.service.clone(),
            incarnation: observation.incarnation,
            expires_at: now + self.hint_lifetime,
        };
        let previous = self.hints.insert(observation.backend.clone(), hint);
        previous.is_none()
    }

    /// Removes expired hints. Returns whether the view changed.
    pub fn expire_hints(&mut self, now: Duration) -> bool {
        let before = self.hints.len();
        self.hints.retain(|_, hint| hint.expires_at > now);
        self.hints.len() != before
    }

    /// Returns when the next hint expires.
    pub fn next_hint_expiry(&self) -> Option<Duration> {
        self.hints.values().map(|hint| hint.expires_at).min()
    }

    /// Returns the view: the state in force, modified by the hints.
    pub fn view(&self) -> View {
        let mut view = self.committed.clone();
        for (backend, hint) in &self.hints {
            mark_leaving(&mut view, &hint.service, backend);
        }
        view
    }

    fn apply_changes(&mut self, update: StateUpdate) {
        let state = &mut self.committed;
        state.revision = update.revision;
        state.configuration_version = update.configuration_version;
        if let Some(schema) = update.schema {
            state.schema = Some(Arc::new(schema));
        }
        for (service, change) in update.services {
            apply_service(&mut state.services, service, change);
        }
        for (backend, change) in update.backends {
            if !update.full {
                remove_backend(&mut state.backends, &backend);
                remove_older_hint(&mut self.hints, &backend, change.as_ref());
            }
            if let Some(record) = change {
                insert_backend(&mut state.backends, record);
            }
        }
        state.agents_per_service.extend(update.agents_per_service);
    }

    /// Removes the hints about back ends that, according to control, are not live, were removed, or
    /// have restarted.
    fn remove_superseded_hints(&mut self) {
        let committed = &self.committed;
        self.hints.retain(|backend, hint| {
            find(committed, &hint.service, backend)
                .is_some_and(|record| is_hint_applicable(record, hint.incarnation))
        });
    }

    fn find(&self, service: &ServiceName, backend: &BackendId) -> Option<&Arc<BackendRecord>> {
        find(&self.committed, service, backend)
    }
}

/// Removes the hint about a back end whose record has changed, unless the hint is about a later
/// incarnation. A changed record is newer information from control than a hint about the same
/// incarnation. This does not hold for the records of a full update, which also contains records that
/// have not changed since the hint.
fn remove_older_hint(
    hints: &mut BTreeMap<BackendId, Hint>,
    backend: &BackendId,
    change: Option<&BackendRecord>,
) {
    let hint_is_newer = match (hints.get(backend), change) {
        (Some(hint), Some(record)) => hint.incarnation > record.incarnation,
        _ => false,
    };
    if !hint_is_newer {
        hints.remove(backend);
    }
}

/// Returns whether a hint about `incarnation` applies to the record: the record is live and not of a
/// later incarnation.
fn is_hint_applicable(record: &BackendRecord, incarnation: u64) -> bool {
    record.state == BackendState::Live && record.incarnation <= incarnation
}

fn find<'a>(
    view: &'a View,
    service: &ServiceName,
    backend: &BackendId,
) -> Option<&'a Arc<BackendRecord>> {
    let records = view.backends.get(service)?;
    let position = position(records, backend).ok()?;
    records.get(position)
}

fn position(records: &[Arc<BackendRecord>], backend: &BackendId) -> Result<usize, usize> {
    records.binary_search_by(|record| record.id.cmp(backend))
}

fn mark_leaving(view: &mut View, service: &ServiceName, backend: &BackendId) {
    let Some(records) = view.backends.get_mut(service) else {
        return;
    };
    if let Ok(position) = position(records, backend) {
        let record = &mut records[position];
        Arc::make_mut(record).state = BackendState::Leaving;
    }
}

fn apply_service(
    services: &mut BTreeMap<ServiceName, Arc<ServiceConfiguration>>,
    service: ServiceName,
    change: Option<ServiceConfiguration>,
) {
    match change {
        Some(configuration) => {
            services.insert(service, Arc::new(configuration));
        }
        None => {
            services.remove(&service);
        }
    }
}

fn remove_backend(
    backends: &mut BTreeMap<ServiceName, Vec<Arc<BackendRecord>>>,
    backend: &BackendId,
) {
    let mut emptied_service = None;
    for (service, records) in backends.iter_mut() {
        if let Ok(position) = position(records, backend) {
            records.remove(position);
            emptied_service = records.is_empty().then(|| service.clone());
            break;
        }
    }
    if let Some(service) = emptied_service {
        backends.remove(&service);
    }
}

fn insert_backend(
    backends: &mut BTreeMap<ServiceName, Vec<Arc<BackendRecord>>>,
    record: BackendRecord,
) {
    let records = backends.entry(record.service.clone()).or_default();
    match position(records, &record.id) {
        Ok(position) => records[position] = Arc::new(record),
        Err(position) => records.insert(position, Arc::new(record)),
    }
}
