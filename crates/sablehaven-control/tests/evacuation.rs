//! Orders about zones: one after the other, and kept in snapshots.

use std::collections::BTreeSet;

use sablehaven_control::{
    evacuation::EvacuationCommand,
    shared::{SharedCommand, SharedState},
};
use sablehaven_types::ZoneName;

fn order(state: &mut SharedState, index: u64, zone: &str, is_evacuated: bool) {
    let zone = zone.into();
    let order = EvacuationCommand { zone, is_evacuated };
    state.apply(index, SharedCommand::Evacuation(order));
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn orders_take_effect_one_after_the_other() {
    let mut state = SharedState::default();
    order(&mut state, 3, "a", true);
    order(&mut state, 4, "b", true);
    order(&mut state, 5, "a", false);
    assert_eq!(state.evacuation().zones().zones, zones(&["b"]));
    assert_eq!(state.evacuation().zones().revision, 5);
}

#[test]
fn a_repeated_order_changes_nothing() {
    let mut state = SharedState::default();
    order(&mut state, 3, "a", true);
    order(&mut state, 4, "a", true);
    assert_eq!(state.evacuation().zones().revision, 3);
    order(&mut state, 5, "b", false);
    assert_eq!(state.evacuation().zones().revision, 3);
}

#[test]
fn a_snapshot_keeps_what_is_evacuated() {
    let mut state = SharedState::default();
    order(&mut state, 3, "a", true);
    let snapshot = state.snapshot().expect("a snapshot");
    let restored = SharedState::restore(&snapshot).expect("the state");
    assert_eq!(restored.evacuation().zones(), state.evacuation().zones());
}

#[test]
fn relays_are_not_told_of_orders_about_zones() {
    let mut state = SharedState::default();
    let before = state.revision();
    order(&mut state, 3, "a", true);
    assert_eq!(state.revision(), before);
}
