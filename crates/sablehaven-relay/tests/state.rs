//! The relay's state and the updates that it makes of it.

mod support;

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_relay::{Distribution, Interest, RelayState};
use sablehaven_subscription::ViewState;
use sablehaven_types::{BackendRecord, BackendState, ServiceName};
use sablehaven_wire::{StateUpdate, UpdateFit};
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
    let fit = state.apply(full_state(10, &["stock.Search", "stock.Reserve"]));
    assert_eq!(fit, UpdateFit::Applies);
    state
}

#[test]
fn a_new_agent_gets_the_whole_state_of_its_interest_only() {
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
    assert_eq!(other.revision, 20, "an empty update moves the revision");
}

#[test]
fn an_agent_ahead_of_the_relay_gets_nothing() {
    let state = state_at_ten();
    assert!(state.update_from(10, &interest(&[])).is_none());
    assert!(state.update_from(11, &interest(&[])).is_none());
}

#[test]
fn an_agent_behind_the_recent_changes_gets_the_whole_state() {
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
fn a_whole_state_from_control_reaches_agents_as_a_difference() {
    let mut state = state_at_ten();
    let mut whole = full_state(30, &["stock.Search", "stock.Reserve"]);
    whole
        .services
        .insert("stock.Search".into(), Some(service(7)));
    whole.backends.remove(&"stock.Reserve-backend".into());
    assert_eq!(state.apply(whole), UpdateFit::Applies);
    let update = state.update_from(10, &interest(&[])).expect("an update");
    assert!(!update.full);
    assert_eq!(update.services.len(), 1);
    let gone = [("stock.Reserve-backend".into(), None)].into();
    assert_eq!(update.backends, gone);
}

#[test]
fn updates_that_do_not_fit_change_nothing() {
    let mut state = state_at_ten();
    let stale = full_state(9, &[]);
    assert_eq!(state.apply(stale), UpdateFit::Old);
    assert_eq!(
        state.apply(delta(11, changes("stock.Search", 9))),
        UpdateFit::Gap
    );
    assert_eq!(state.revision(), 10);
}

#[test]
fn agents_with_equal_interest_share_one_encoding() {
    let mut distribution = Distribution::default();
    distribution.apply(full_state(10, &["stock.Search", "stock.Reserve"]));
    for _ in 0..100 {
        let search = distribution
            .frame(0, &interest(&["stock.Search"]))
            .expect("encode");
        let reserve = distribution
            .frame(0, &interest(&["stock.Reserve"]))
            .expect("encode");
        assert!(search.is_some() && reserve.is_some());
    }
    assert_eq!(distribution.encoded(), 2);
    distribution.apply(delta(10, changes("stock.Search", 2)));
    let newer = distribution
        .frame(0, &interest(&["stock.Search"]))
        .expect("encode");
    assert_eq!(newer.expect("a frame").revision, 11);
    assert_eq!(distribution.encoded(), 3);
}

const SERVICES: [&str; 3] = ["a.A", "b.B", "c.C"];

/// One committed change of the reference model.
#[derive(Clone, Debug)]
enum Step {
    SetService(usize, u64),
    RemoveService(usize),
    /// Also moves a back end between services.
    SetBackend(u8, usize, u64),
    RemoveBackend(u8),
    SetCount(usize, u32),
    /// Control sends its whole state instead of the last changes.
    Whole(u8),
    /// An agent takes what the relay has for it.
    Follow(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, 0..4u64).prop_map(|(name, generation)| Step::SetService(name, generation)),
        (0..3usize).prop_map(Step::RemoveService),
        (0..5u8, 0..3usize, 0..4u64)
            .prop_map(|(id, name, start)| Step::SetBackend(id, name, start)),
        (0..5u8).prop_map(Step::RemoveBackend),
        (0..3usize, 0..4u32).prop_map(|(name, count)| Step::SetCount(name, count)),
        (1..4u8).prop_map(Step::Whole),
        (0..4usize).prop_map(Step::Follow),
    ]
}

/// The state as control holds it.
#[derive(Clone, Debug, Default)]
struct Model {
    state: StateUpdate,
}

impl Model {
    fn change(&mut self, step: &Step) -> StateUpdate {
        let mut update = StateUpdate::default();
        match step {
            Step::SetService(name, generation) => {
                let key = SERVICES[*name].into();
                update.services.insert(key, Some(service(*generation)));
            }
            Step::RemoveService(name) => {
                update.services.insert(SERVICES[*name].into(), None);
            }
            Step::SetBackend(id, name, start) => {
                let id = format!("backend-{id}");
                let backend = record(&id, SERVICES[*name], *start, BackendState::Live);
                update.backends.insert(backend.id.clone(), Some(backend));
            }
            Step::RemoveBackend(id) => {
                update.backends.insert(format!("backend-{id}").into(), None);
            }
            Step::SetCount(name, count) => {
                update
                    .agents_per_service
                    .insert(SERVICES[*name].into(), *count);
            }
            Step::Whole(_) | Step::Follow(_) => {}
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
                let of_service = backends.entry(record.service.clone()).or_default();
                of_service.push(record.clone());
            }
        }
        backends
    }
}

/// What an agent shows must be exactly control's state, as far as its interest goes.
fn assert_follows(model: &Model, agent: &ViewState, interest: &Interest) {
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

    /// Agents with different interests that follow now and then, over single and merged deltas and
    /// whole states, always show control's state at the relay's revision.
    #[test]
    fn agents_that_follow_now_and_then_show_the_committed_state(
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
        let mut follow = |relay: &RelayState, model: &Model, agent: usize| {
            let view = &mut agents[agent];
            if let Some(update) = relay.update_from(view.revision(), &interests[agent]) {
                assert_eq!(view.apply(update), UpdateFit::Applies);
            }
            if view.revision() > 0 {
                assert_follows(model, view, &interests[agent]);
            }
        };
        for step in &steps {
            match step {
                Step::Follow(agent) => follow(&relay, &model, *agent),
                Step::Whole(missed) => {
                    for number in 0..*missed {
                        model.change(&Step::SetBackend(number, usize::from(number) % 3, 9));
                    }
                    let whole = StateUpdate { full: true, ..model.state.clone() };
                    prop_assert_eq!(relay.apply(whole), UpdateFit::Applies);
                }
                change => {
                    let update = model.change(change);
                    prop_assert_eq!(relay.apply(update), UpdateFit::Applies);
                }
            }
        }
        for agent in 0..interests.len() {
            follow(&relay, &model, agent);
        }
    }
}
