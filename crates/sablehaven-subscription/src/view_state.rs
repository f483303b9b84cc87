//! Applies updates and hints; moves only forward.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sablehaven_types::{
    BackendId, BackendRecord, BackendState, Observation, ObservationKind, ServiceConfiguration,
    ServiceName,
};
use sablehaven_wire::{StateUpdate, UpdateCheck};

use crate::View;

/// Hints held at most; more are ignored, control's word will come.
const MAXIMUM_HINTS: usize = 10_000;

/// The state in force and the hints laid over it.
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
    /// A state before the first update.
    pub fn new(hint_lifetime: Duration) -> Self {
        Self {
            committed: View::default(),
            hints: BTreeMap::new(),
            hint_lifetime,
        }
    }

    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.committed.revision
    }

    /// The version of the configuration in force.
    pub fn configuration_version(&self) -> u64 {
        self.committed.configuration_version
    }

    /// Applies one update from a relay, if it fits.
    pub fn apply(&mut self, update: StateUpdate) -> UpdateCheck {
        let committed = &self.committed;
        let fit = update.check(committed.revision, committed.configuration_version);
        if fit != UpdateCheck::Applies {
            return fit;
        }
        if update.full {
            self.committed = View::default();
        }
        self.apply_changes(update);
        self.drop_answered_hints();
        UpdateCheck::Applies
    }

    /// Lays an observation over the state; returns whether the view changed.
    ///
    /// Only a back end's own word that it drains counts. Other observations are evidence for
    /// control to weigh.
    pub fn hint(&mut self, observation: &Observation, now: Duration) -> bool {
        if observation.kind != ObservationKind::Draining || self.hints.len() >= MAXIMUM_HINTS {
            return false;
        }
        let Some(record) = self.find(&observation.service, &observation.backend) else {
            return false;
        };
        if !hint_concerns(record, observation.incarnation) {
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

    /// Drops hints whose time has passed; returns whether the view changed.
    pub fn expire_hints(&mut self, now: Duration) -> bool {
        let before = self.hints.len();
        self.hints.retain(|_, hint| hint.expires_at > now);
        self.hints.len() != before
    }

    /// When the next hint's time passes.
    pub fn next_hint_expiry(&self) -> Option<Duration> {
        self.hints.values().map(|hint| hint.expires_at).min()
    }

    /// The view: the state with the hints laid over it.
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
                drop_hint_before(&mut self.hints, &backend, change.as_ref());
            }
            if let Some(record) = change {
                insert_backend(&mut state.backends, record);
            }
        }
        state.agents_per_service.extend(update.agents_per_service);
    }

    /// A hint ends once control says that the back end is not live, that it is gone, or that it has
    /// started again.
    fn drop_answered_hints(&mut self) {
        let committed = &self.committed;
        self.hints.retain(|backend, hint| {
            find(committed, &hint.service, backend)
                .is_some_and(|record| hint_concerns(record, hint.incarnation))
        });
    }

    fn find(&self, service: &ServiceName, backend: &BackendId) -> Option<&Arc<BackendRecord>> {
        find(&self.committed, service, backend)
    }
}

/// A change of the record is control's word, newer than a hint about the same start of the server.
/// A full update is not: it also carries records that did not change after the hint.
fn drop_hint_before(
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

fn hint_concerns(record: &BackendRecord, incarnation: u64) -> bool {
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
    let mut emptied = None;
    for (service, records) in backends.iter_mut() {
        if let Ok(position) = position(records, backend) {
            records.remove(position);
            emptied = records.is_empty().then(|| service.clone());
            break;
        }
    }
    if let Some(service) = emptied {
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
