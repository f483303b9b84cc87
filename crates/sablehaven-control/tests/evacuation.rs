//! Zone evacuation commands: applied in log order and kept in snapshots.

use std::collections::BTreeSet;

use sablehaven_control::{
    evacuation::EvacuationCommand,
    shared::{SharedCommand, SharedState},
};
use sablehaven_types::ZoneName;

fn set_evacuated(state: &mut SharedState, index: u64, zone: &str, is_evacuated: bool) {
    let zone = zone.into();
    let command = EvacuationCommand { zone, is_evacuated };
    state.apply(index, SharedCommand::Evacuation(command));
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn commands_apply_in_log_order() {
    let mut state = SharedState::default();
    set_evacuated(&mut state, 3, "a", true);
    set_evacuated(&mut state, 4, "b", true);
    set_evacuated(&mut state, 5, "a", false);
    assert_eq!(state.evacuation().zones().zones, zones(&["b"]));
    assert_eq!(state.evacuation().zones().revision, 5);
}

#[test]
fn a_command_without_effect_keeps_the_revision() {
    let mut state = SharedState::default();
    set_evacuated(&mut state, 3, "a", true);
    set_evacuated(&mut state, 4, "a", true);
    assert_eq!(state.evacuation().zones().revision, 3);
    set_evacuated(&mut state, 5, "b", false);
    assert_eq!(state.evacuation().zones().revision, 3);
}

#[test]
fn a_snapshot_keeps_the_evacuated_zones() {
    let mut state = SharedState::default();
    set_evacuated(&mut state, 3, "a", true);
    let snapshot = state.snapshot().expect("a snapshot");
    let restored = SharedState::restore(&snapshot).expect("the state");
    assert_eq!(restored.evacuation().zones(), state.evacuation().zones());
}

#[test]
fn an_evacuation_does_not_change_the_revision_sent_to_relays() {
    let mut state = SharedState::default();
    let before = state.revision();
    set_evacuated(&mut state, 3, "a", true);
    assert_eq!(state.revision(), before);
}
