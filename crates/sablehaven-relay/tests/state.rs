//! Tests of the relay's state and of the updates built from it.

mod support;

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_relay::{Distribution, Interest, RelayState};
use sablehaven_subscription::ViewState;
use sablehaven_types::{BackendRecord, BackendState, ServiceName};
use sablehaven_wire::{StateUpdate, UpdateCheck};
use support::{changes, full_state, record, service};

fn interest(services: &[&str]) -> Interest {
    Interest::new(services.iter().map(|name| (*name).into()).collect())
}

fn delta(from_revision: u64, update: StateUpdate) -> StateUpdate {
    StateUpdate {
        full: false,
        from_revision,
        revision: from_revision + 1,
        configuration_version: from_revision + 1,
        ..update
    }
}

fn state_at_ten() -> RelayState {
    let mut state = RelayState::default();
    let check = state.apply(full_state(10, &["stock.Search", "stock.Reserve"]));
    assert_eq!(check, UpdateCheck::Applies);
    state
}

#[test]
fn a_new_agent_gets_a_full_update_limited_to_its_interest() {
    let state = state_at_ten();
    let update = state
        .update_from(0, &interest(&["stock.Search"]))
        .expect("an update");
    assert!(update.full);
    assert_eq!(update.revision, 10);
    assert_eq!(update.services.len(), 1);
    assert_eq!(update.backends.len(), 1);
    let all = state.update_from(0, &interest(&[])).expect("an update");
    assert_eq!(all.services.len(), 2);
}

#[test]
fn an_agent_at_a_recent_revision_gets_only_what_changed() {
    let mut state = state_at_ten();
    for revision in 10..20 {
        state.apply(delta(revision, changes("stock.Search", revision)));
    }
    let update = state.update_from(15, &interest(&[])).expect("an update");
    assert!(!update.full);
    assert_eq!((update.from_revision, update.revision), (15, 20));
    assert_eq!(update.services.len(), 1);
    let other = state
        .update_from(15, &interest(&["stock.Reserve"]))
        .expect("an update");
    assert!(other.services.is_empty() && other.backends.is_empty());
    assert_eq!(other.revision, 20, "an empty update advances the revision");
}

#[test]
fn an_agent_at_or_ahead_of_the_relay_gets_no_update() {
    let state = state_at_ten();
    assert!(state.update_from(10, &interest(&[])).is_none());
    assert!(state.update_from(11, &interest(&[])).is_none());
}

#[test]
fn an_agent_behind_the_recent_changes_gets_a_full_update() {
    let mut state = state_at_ten();
    for revision in 10..2_000 {
        state.apply(delta(revision, changes("stock.Search", revision)));
    }
    let update = state.update_from(10, &interest(&[])).expect("an update");
    assert!(update.full);
    let recent = state.update_from(1_990, &interest(&[])).expect("an update");
    assert!(!recent.full);
}

#[test]
fn a_full_update_from_control_reaches_agents_as_a_delta() {
    let mut state = state_at_ten();
    let mut full = full_state(30, &["stock.Search", "stock.Reserve"]);
    full.services
        .insert("stock.Search".into(), Some(service(7)));
    full.backends.remove(&"stock.Reserve-backend".into());
    assert_eq!(state.apply(full), UpdateCheck::Applies);
    let update = state.update_from(10, &interest(&[])).expect("an update");
    assert!(!update.full);
    assert_eq!(update.services.len(), 1);
    let removed = [("stock.Reserve-backend".into(), None)].into();
    assert_eq!(update.backends, removed);
}

#[test]
fn updates_that_do_not_apply_change_nothing() {
    let mut state = state_at_ten();
    let stale = full_state(9, &[]);
    assert_eq!(state.apply(stale), UpdateCheck::Stale);
    assert_eq!(
        state.apply(delta(11, changes("stock.Search", 9))),
        UpdateCheck::Gap
    );
    assert_eq!(state.revision(), 10);
}

#[test]
fn agents_with_equal_interest_share_one_encoding() {
    let mut distribution = Distribution::default();
    distribution.apply(full_state(10, &["stock.Search", "stock.Reserve"]));
    for _ in 0..100 {
        let search = distribution
            .update_from(0, &interest(&["stock.Search"]))
            .expect("encode");
        let reserve = distribution
            .update_from(0, &interest(&["stock.Reserve"]))
            .expect("encode");
        assert!(search.is_some() && reserve.is_some());
    }
    assert_eq!(distribution.encoded_count(), 2);
    distribution.apply(delta(10, changes("stock.Search", 2)));
    let newer = distribution
        .update_from(0, &interest(&["stock.Search"]))
        .expect("encode");
    assert_eq!(newer.expect("an update").revision, 11);
    assert_eq!(distribution.encoded_count(), 3);
}

const SERVICES: [&str; 3] = ["a.A", "b.B", "c.C"];

/// A step of the property test: a committed change or a synchronization.
#[derive(Clone, Debug)]
enum Step {
    SetService(usize, u64),
    RemoveService(usize),
    /// Sets a back end, which may move it to another service.
    SetBackend(u8, usize, u64),
    RemoveBackend(u8),
    SetCount(usize, u32),
    /// Control commits this number of changes and then sends its full state instead of the changes.
    FullState(u8),
    /// An agent applies the update that the relay has for it.
    SyncAgent(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, 0..4u64)
            .prop_map(|(service, generation)| Step::SetService(service, generation)),
        (0..3usize).prop_map(Step::RemoveService),
        (0..5u8, 0..3usize, 0..4u64).prop_map(|(id, service, incarnation)| Step::SetBackend(
            id,
            service,
            incarnation
        )),
        (0..5u8).prop_map(Step::RemoveBackend),
        (0..3usize, 0..4u32).prop_map(|(service, count)| Step::SetCount(service, count)),
        (1..4u8).prop_map(Step::FullState),
        (0..4usize).prop_map(Step::SyncAgent),
    ]
}

/// Reference model: the state held by control.
#[derive(Clone, Debug, Default)]
struct Model {
    state: StateUpdate,
}

impl Model {
    fn change(&mut self, step: &Step) -> StateUpdate {
        let mut update = StateUpdate::default();
        match step {
            Step::SetService(index, generation) => {
                let key = SERVICES[*index].into();
                update.services.insert(key, Some(service(*generation)));
            }
            Step::RemoveService(index) => {
                update.services.insert(SERVICES[*index].into(), None);
            }
            Step::SetBackend(id, index, incarnation) => {
                let id = format!("backend-{id}");
                let backend = record(&id, SERVICES[*index], *incarnation, BackendState::Live);
                update.backends.insert(backend.id.clone(), Some(backend));
            }
            Step::RemoveBackend(id) => {
                update.backends.insert(format!("backend-{id}").into(), None);
            }
            Step::SetCount(index, count) => {
                update
                    .agents_per_service
                    .insert(SERVICES[*index].into(), *count);
            }
            Step::FullState(_) | Step::SyncAgent(_) => {}
        }
        update.from_revision = self.state.revision;
        update.revision = update.from_revision + 1;
        update.configuration_version = update.revision;
        self.state.revision = update.revision;
        self.state.configuration_version = update.revision;
        self.state.services.extend(update.services.clone());
        self.state.services.retain(|_, service| service.is_some());
        self.state.backends.extend(update.backends.clone());
        self.state.backends.retain(|_, backend| backend.is_some());
        let counts = update.agents_per_service.clone();
        self.state.agents_per_service.extend(counts);
        update
    }

    fn backends_of(&self, interest: &Interest) -> BTreeMap<ServiceName, Vec<BackendRecord>> {
        let mut backends: BTreeMap<ServiceName, Vec<BackendRecord>> = BTreeMap::new();
        for record in self.state.backends.values().flatten() {
            if interest.includes(&record.service) {
                let service_backends = backends.entry(record.service.clone()).or_default();
                service_backends.push(record.clone());
            }
        }
        backends
    }
}

/// Asserts that the agent's view equals the state of control, restricted to the agent's interest.
fn assert_in_sync(model: &Model, agent: &ViewState, interest: &Interest) {
    let view = agent.view();
    assert_eq!(view.revision, model.state.revision);
    let backends: BTreeMap<ServiceName, Vec<BackendRecord>> = view
        .backends
        .iter()
        .map(|(name, records)| {
            let records = records.iter().map(|record| record.as_ref().clone());
            (name.clone(), records.collect())
        })
        .collect();
    assert_eq!(backends, model.backends_of(interest));
    let shown: Vec<_> = view.services.keys().collect();
    let services = model.state.services.keys();
    let expected: Vec<_> = services.filter(|name| interest.includes(name)).collect();
    assert_eq!(shown, expected);
    for (name, count) in &model.state.agents_per_service {
        if interest.includes(name) {
            let shown = view.agents_per_service.get(name).copied().unwrap_or(0);
            assert_eq!(shown, *count);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0de17a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Agents with different interests that synchronize at arbitrary times, over single deltas,
    /// merged deltas and full states, always have the state of control at the relay's revision.
    #[test]
    fn agents_that_synchronize_at_arbitrary_times_have_the_committed_state(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::default();
        let mut relay = RelayState::default();
        let interests = [
            interest(&[]),
            interest(&["a.A"]),
            interest(&["b.B"]),
            interest(&["a.A", "c.C"]),
        ];
        let lifetime = Duration::from_secs(1);
        let mut agents: Vec<_> = interests.iter().map(|_| ViewState::new(lifetime)).collect();
        let mut sync = |relay: &RelayState, model: &Model, agent: usize| {
            let view = &mut agents[agent];
            if let Some(update) = relay.update_from(view.revision(), &interests[agent]) {
                assert_eq!(view.apply(update), UpdateCheck::Applies);
            }
            if view.revision() > 0 {
                assert_in_sync(model, view, &interests[agent]);
            }
        };
        for step in &steps {
            match step {
                Step::SyncAgent(agent) => sync(&relay, &model, *agent),
                Step::FullState(change_count) => {
                    for number in 0..*change_count {
                        model.change(&Step::SetBackend(number, usize::from(number) % 3, 9));
                    }
                    let full = StateUpdate { full: true, ..model.state.clone() };
                    prop_assert_eq!(relay.apply(full), UpdateCheck::Applies);
                }
                change => {
                    let update = model.change(change);
                    prop_assert_eq!(relay.apply(update), UpdateCheck::Applies);
                }
            }
        }
        for agent in 0..interests.len() {
            sync(&relay, &model, agent);
        }
    }
}
