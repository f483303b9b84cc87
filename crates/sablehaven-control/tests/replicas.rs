//! Membership changes of the control replicas: one at a time, in phases.

use std::{collections::BTreeMap, net::SocketAddr};

use sablehaven_consensus::ReplicaId;
use sablehaven_control::replicas::{
    ChangeKind, ChangePhase, ReplacementOrder, ReplicaAddresses, ReplicasCommand, ReplicasOutcome,
    ReplicasState,
};

const A: ReplicaId = ReplicaId(1);
const B: ReplicaId = ReplicaId(2);
const C: ReplicaId = ReplicaId(3);
const D: ReplicaId = ReplicaId(4);

fn addresses(replica: ReplicaId) -> ReplicaAddresses {
    let port = 7_000 + replica.0 as u16;
    ReplicaAddresses {
        internal: SocketAddr::from(([127, 0, 0, 1], port)),
        http: SocketAddr::from(([127, 0, 0, 1], port + 100)),
    }
}

fn formed_state() -> ReplicasState {
    let mut state = ReplicasState::default();
    let members = [A, B, C].map(|replica| (replica, addresses(replica)));
    state.apply(ReplicasCommand::Form(BTreeMap::from(members)));
    state
}

fn begin(state: &mut ReplicasState, kind: ChangeKind) -> ReplicasOutcome {
    state.apply(ReplicasCommand::Begin {
        kind,
        addresses: kind.added().map(addresses),
    })
}

fn advance(state: &mut ReplicasState, change: u64, phase: ChangePhase) {
    state.apply(ReplicasCommand::Advance { change, phase });
}

fn replace(order: ReplacementOrder) -> ChangeKind {
    ChangeKind::Replace {
        old: C,
        new: D,
        order,
    }
}

fn voters(state: &ReplicasState) -> Vec<ReplicaId> {
    state.target().voters.into_iter().collect()
}

#[test]
fn a_replacement_is_learner_then_voter_then_the_old_replica_is_removed() {
    let mut state = formed_state();
    begin(&mut state, replace(ReplacementOrder::PromoteFirst));
    assert_eq!(voters(&state), [A, B, C]);
    assert!(state.target().learners.contains(&D));
    advance(&mut state, 1, ChangePhase::Learning);
    assert_eq!(voters(&state), [A, B, C, D]);
    advance(&mut state, 1, ChangePhase::Promoting);
    assert_eq!(voters(&state), [A, B, D]);
    assert!(!state.is_finished(1));
    advance(&mut state, 1, ChangePhase::Removing);
    assert!(state.is_finished(1));
    assert_eq!(voters(&state), [A, B, D]);
    assert!(!state.replicas().contains_key(&C));
}

#[test]
fn a_failed_replica_is_removed_before_its_replacement_is_promoted() {
    let mut state = formed_state();
    begin(&mut state, replace(ReplacementOrder::RemoveFirst));
    advance(&mut state, 1, ChangePhase::Learning);
    assert_eq!(voters(&state), [A, B]);
    assert!(state.target().learners.contains(&D));
    advance(&mut state, 1, ChangePhase::Removing);
    assert_eq!(voters(&state), [A, B, D]);
}

#[test]
fn a_second_change_cannot_start_until_the_first_finishes() {
    let mut state = formed_state();
    let kind = replace(ReplacementOrder::PromoteFirst);
    assert_eq!(
        begin(&mut state, kind),
        ReplicasOutcome::Started { change: 1 }
    );
    for phase in [
        ChangePhase::Learning,
        ChangePhase::Promoting,
        ChangePhase::Removing,
    ] {
        let second = begin(&mut state, ChangeKind::Remove { replica: A });
        assert!(matches!(second, ReplicasOutcome::Busy { .. }), "{phase:?}");
        advance(&mut state, 1, phase);
    }
    let second = begin(&mut state, ChangeKind::Remove { replica: A });
    assert_eq!(second, ReplicasOutcome::Started { change: 2 });
}

/// An operator whose response was lost resends the request. In the meantime, the leader's view of whether the old
/// replica is alive may have changed, and with it the order of the steps.
#[test]
fn a_resent_change_returns_the_change_in_progress() {
    let mut state = formed_state();
    let first = begin(&mut state, replace(ReplacementOrder::PromoteFirst));
    assert_eq!(first, ReplicasOutcome::Started { change: 1 });
    advance(&mut state, 1, ChangePhase::Learning);
    let resent = begin(&mut state, replace(ReplacementOrder::RemoveFirst));
    assert_eq!(resent, ReplicasOutcome::Started { change: 1 });
    assert_eq!(
        voters(&state),
        [A, B, C, D],
        "the change keeps its original order"
    );
    let other = begin(&mut state, ChangeKind::Remove { replica: A });
    assert!(matches!(other, ReplicasOutcome::Busy { .. }), "{other:?}");
}

#[test]
fn a_change_can_be_cancelled_only_while_the_new_replica_is_a_learner() {
    let mut state = formed_state();
    begin(&mut state, replace(ReplacementOrder::PromoteFirst));
    let cancelled = begin(&mut state, ChangeKind::Remove { replica: D });
    assert_eq!(cancelled, ReplicasOutcome::Started { change: 2 });
    assert!(state.is_finished(1));
    assert_eq!(voters(&state), [A, B, C]);
    advance(&mut state, 2, ChangePhase::Removing);
    assert_eq!(voters(&state), [A, B, C]);
    begin(&mut state, replace(ReplacementOrder::PromoteFirst));
    advance(&mut state, 3, ChangePhase::Learning);
    let late = begin(&mut state, ChangeKind::Remove { replica: D });
    assert!(matches!(late, ReplicasOutcome::Busy { .. }));
}

#[test]
fn a_change_can_be_cancelled_during_a_promotion_that_is_its_last_phase() {
    let mut state = formed_state();
    begin(&mut state, replace(ReplacementOrder::RemoveFirst));
    advance(&mut state, 1, ChangePhase::Learning);
    let early = begin(&mut state, ChangeKind::Remove { replica: D });
    assert!(matches!(early, ReplicasOutcome::Busy { .. }));
    advance(&mut state, 1, ChangePhase::Removing);
    let cancelled = begin(&mut state, ChangeKind::Remove { replica: D });
    assert_eq!(cancelled, ReplicasOutcome::Started { change: 2 });
    let remaining = voters(&state);
    advance(&mut state, 2, ChangePhase::Removing);
    // The old replica had already been removed from every group and does not rejoin any.
    assert_eq!(voters(&state), remaining);
    assert_eq!(remaining.len(), 2);
    assert_eq!(state.replicas().len(), 2);
    let readded = begin(&mut state, ChangeKind::Add { replica: D });
    assert_eq!(readded, ReplicasOutcome::Started { change: 3 });
    advance(&mut state, 3, ChangePhase::Learning);
    let cancelled = begin(&mut state, ChangeKind::Remove { replica: D });
    assert_eq!(cancelled, ReplicasOutcome::Started { change: 4 });
}

#[test]
fn an_advance_from_a_former_leader_has_no_effect() {
    let mut state = formed_state();
    begin(&mut state, ChangeKind::Add { replica: D });
    advance(&mut state, 1, ChangePhase::Promoting);
    advance(&mut state, 7, ChangePhase::Learning);
    assert_eq!(
        state.change().expect("a change in progress").phase,
        ChangePhase::Learning
    );
}

#[test]
fn inconsistent_changes_are_refused() {
    let mut state = formed_state();
    let known = begin(&mut state, ChangeKind::Add { replica: A });
    assert!(matches!(known, ReplicasOutcome::Refused { .. }));
    let unknown = begin(&mut state, ChangeKind::Remove { replica: D });
    assert!(matches!(unknown, ReplicasOutcome::Refused { .. }));
    let address_in_use = state.apply(ReplicasCommand::Begin {
        kind: ChangeKind::Add { replica: D },
        addresses: Some(addresses(A)),
    });
    assert!(matches!(address_in_use, ReplicasOutcome::Refused { .. }));
    let second_form = ReplicasCommand::Form(BTreeMap::from([(D, addresses(D))]));
    state.apply(second_form);
    assert_eq!(voters(&state), [A, B, C]);
}
