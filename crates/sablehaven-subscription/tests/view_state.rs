//! Tests that the view never reverts to an older revision, and that updates from control supersede hints.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_subscription::ViewState;
use sablehaven_types::{
    BackendRecord, BackendState, IndexSnapshot, Observation, ObservationKind, Placement,
    ServiceConfiguration, SnapshotId,
};
use sablehaven_wire::{StateUpdate, UpdateCheck};

const SERVICE: &str = "stock.Search";
const HINT_LIFETIME: Duration = Duration::from_secs(30);

fn record(id: &str, incarnation: u64, state: BackendState) -> BackendRecord {
    BackendRecord {
        id: id.into(),
        service: SERVICE.into(),
        address: "127.0.0.1:9000".parse().expect("address"),
        placement: Placement {
            region: "west".into(),
            zone: "west-1".into(),
        },
        state,
        incarnation,
    }
}

fn service(generation: u64) -> ServiceConfiguration {
    ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation,
                partition_map: 1,
            },
            shards: Vec::new(),
        },
        routing: Default::default(),
    }
}

fn full_update(revision: u64, records: &[BackendRecord]) -> StateUpdate {
    StateUpdate {
        full: true,
        revision,
        configuration_version: revision / 10,
        services: [(SERVICE.into(), Some(service(revision)))].into(),
        backends: records
            .iter()
            .map(|record| (record.id.clone(), Some(record.clone())))
            .collect(),
        ..StateUpdate::default()
    }
}

fn delta_update(from_revision: u64, revision: u64, records: &[BackendRecord]) -> StateUpdate {
    StateUpdate {
        full: false,
        from_revision,
        services: Default::default(),
        ..full_update(revision, records)
    }
}

fn draining_observation(id: &str, incarnation: u64) -> Observation {
    Observation {
        backend: id.into(),
        service: SERVICE.into(),
        incarnation,
        kind: ObservationKind::Draining,
    }
}

fn state_of(state: &ViewState, id: &str) -> Option<BackendState> {
    let view = state.view();
    let records = view.backends.get(&SERVICE.into())?;
    let record = records.iter().find(|record| record.id == id.into())?;
    Some(record.state)
}

fn state_with_two_backends() -> ViewState {
    let mut state = ViewState::new(HINT_LIFETIME);
    let records = [
        record("depot-2", 1, BackendState::Live),
        record("depot-1", 1, BackendState::Live),
    ];
    assert_eq!(state.apply(full_update(10, &records)), UpdateCheck::Applies);
    state
}

#[test]
fn back_ends_are_in_ascending_order_of_ids() {
    let state = state_with_two_backends();
    let view = state.view();
    let ids: Vec<_> = view.backends[&SERVICE.into()]
        .iter()
        .map(|record| record.id.to_string())
        .collect();
    assert_eq!(ids, ["depot-1", "depot-2"]);
}

#[test]
fn stale_updates_and_gaps_change_nothing() {
    let mut state = state_with_two_backends();
    let before = state.view();
    assert_eq!(state.apply(full_update(10, &[])), UpdateCheck::Stale);
    assert_eq!(state.apply(full_update(9, &[])), UpdateCheck::Stale);
    assert_eq!(state.apply(delta_update(9, 12, &[])), UpdateCheck::Gap);
    assert_eq!(state.apply(delta_update(11, 12, &[])), UpdateCheck::Gap);
    assert_eq!(state.view(), before);
}

#[test]
fn an_older_configuration_with_a_newer_revision_is_rejected() {
    let mut state = state_with_two_backends();
    let mut update = full_update(11, &[]);
    update.configuration_version = 0;
    assert_eq!(state.apply(update), UpdateCheck::Reverted);
    assert_eq!(state.configuration_version(), 1);
}

#[test]
fn a_delta_changes_and_removes_records() {
    let mut state = state_with_two_backends();
    let mut update = delta_update(10, 11, &[record("depot-3", 1, BackendState::Live)]);
    update.backends.insert("depot-1".into(), None);
    update.services.insert(SERVICE.into(), None);
    assert_eq!(state.apply(update), UpdateCheck::Applies);
    assert_eq!(state_of(&state, "depot-1"), None);
    assert_eq!(state_of(&state, "depot-3"), Some(BackendState::Live));
    assert!(state.view().services.is_empty());
}

#[test]
fn a_back_end_that_changes_its_service_is_listed_once() {
    let mut state = state_with_two_backends();
    let mut moved = record("depot-1", 2, BackendState::Live);
    moved.service = "stock.Reserve".into();
    assert_eq!(
        state.apply(delta_update(10, 11, &[moved])),
        UpdateCheck::Applies
    );
    assert_eq!(state_of(&state, "depot-1"), None);
    assert_eq!(state.view().backends[&"stock.Reserve".into()].len(), 1);
}

#[test]
fn a_hint_shows_the_back_end_as_leaving_until_the_hint_expires() {
    let mut state = state_with_two_backends();
    assert!(state.apply_hint(&draining_observation("depot-1", 1), Duration::ZERO));
    assert!(!state.apply_hint(&draining_observation("depot-1", 1), Duration::ZERO));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Leaving));
    assert_eq!(state_of(&state, "depot-2"), Some(BackendState::Live));
    assert_eq!(state.next_hint_expiry(), Some(HINT_LIFETIME));
    assert!(state.expire_hints(HINT_LIFETIME));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Live));
}

#[test]
fn only_draining_observations_of_known_back_ends_and_current_incarnations_are_used() {
    let mut state = state_with_two_backends();
    let mut unreachable = draining_observation("depot-1", 1);
    unreachable.kind = ObservationKind::Unreachable;
    assert!(!state.apply_hint(&unreachable, Duration::ZERO));
    assert!(!state.apply_hint(&draining_observation("depot-1", 0), Duration::ZERO));
    assert!(!state.apply_hint(&draining_observation("depot-9", 1), Duration::ZERO));
}

#[test]
fn a_hint_is_removed_by_a_record_with_a_newer_incarnation() {
    let mut state = state_with_two_backends();
    state.apply_hint(&draining_observation("depot-1", 1), Duration::ZERO);
    let restarted = record("depot-1", 2, BackendState::Live);
    state.apply(full_update(11, &[restarted]));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Live));
    assert_eq!(state.next_hint_expiry(), None);
}

#[test]
fn a_hint_is_removed_by_a_changed_record_with_the_same_incarnation() {
    let mut state = state_with_two_backends();
    state.apply_hint(&draining_observation("depot-1", 1), Duration::ZERO);
    let unrelated = record("depot-2", 1, BackendState::Suspected);
    state.apply(delta_update(10, 11, &[unrelated]));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Leaving));
    let live = record("depot-1", 1, BackendState::Live);
    state.apply(delta_update(11, 12, &[live]));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Live));
}

#[test]
fn a_hint_is_kept_after_a_full_update_that_does_not_reflect_it() {
    let mut state = state_with_two_backends();
    state.apply_hint(&draining_observation("depot-1", 1), Duration::ZERO);
    state.apply(full_update(11, &[record("depot-1", 1, BackendState::Live)]));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Leaving));
}

#[test]
fn a_hint_with_a_newer_incarnation_is_kept_after_a_change_of_the_older_record() {
    let mut state = state_with_two_backends();
    state.apply_hint(&draining_observation("depot-1", 3), Duration::ZERO);
    let older = record("depot-1", 2, BackendState::Live);
    state.apply(delta_update(10, 11, &[older]));
    assert_eq!(state_of(&state, "depot-1"), Some(BackendState::Leaving));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0xf0f0),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For arbitrary updates in arbitrary order, the revision and the configuration version never
    /// decrease, and an applied update results in the sender's state at that revision.
    #[test]
    fn the_view_never_reverts(
        updates in prop::collection::vec((any::<bool>(), 0u64..40, 0u64..8), 1..60),
    ) {
        let mut state = ViewState::new(HINT_LIFETIME);
        for (is_full, from, step) in updates {
            let revision = from + step;
            let records = [record("depot-1", revision, BackendState::Live)];
            let update = match is_full {
                true => full_update(revision, &records),
                false => delta_update(from, revision, &records),
            };
            let before = (state.revision(), state.configuration_version());
            let check = state.apply(update);
            let after = (state.revision(), state.configuration_version());
            prop_assert!(after.0 >= before.0 && after.1 >= before.1);
            match check {
                UpdateCheck::Applies => {
                    prop_assert_eq!(state.revision(), revision);
                    let view = state.view();
                    let record = &view.backends[&SERVICE.into()][0];
                    prop_assert_eq!(record.incarnation, revision);
                }
                _ => prop_assert_eq!(before, after),
            }
        }
    }
}
