//! Changes of the control replicas: one at a time, phase by phase.

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

fn formed() -> ReplicasState {
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
fn a_replacement_learns_then_votes_then_the_old_one_goes() {
    let mut state = formed();
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
fn a_dead_replica_goes_before_its_replacement_votes() {
    let mut state = formed();
    begin(&mut state, replace(ReplacementOrder::RemoveFirst));
    advance(&mut state, 1, ChangePhase::Learning);
    assert_eq!(voters(&state), [A, B]);
    assert!(state.target().learners.contains(&D));
    advance(&mut state, 1, ChangePhase::Removing);
    assert_eq!(voters(&state), [A, B, D]);
}

#[test]
fn a_second_change_waits_for_the_first() {
    let mut state = formed();
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

/// An operator whose answer was lost sends the same again, and what the leader thinks of the old replica may have
/// changed meanwhile.
#[test]
fn a_change_that_is_sent_again_is_the_one_under_way() {
    let mut state = formed();
    let first = begin(&mut state, replace(ReplacementOrder::PromoteFirst));
    assert_eq!(first, ReplicasOutcome::Started { change: 1 });
    advance(&mut state, 1, ChangePhase::Learning);
    let again = begin(&mut state, replace(ReplacementOrder::RemoveFirst));
    assert_eq!(again, ReplicasOutcome::Started { change: 1 });
    assert_eq!(voters(&state), [A, B, C, D], "it goes on as it was begun");
    let other = begin(&mut state, ChangeKind::Remove { replica: A });
    assert!(matches!(other, ReplicasOutcome::Busy { .. }), "{other:?}");
}

#[test]
fn a_change_can_be_called_off_only_while_the_new_replica_has_no_vote() {
    let mut state = formed();
    begin(&mut state, replace(ReplacementOrder::PromoteFirst));
    let off = begin(&mut state, ChangeKind::Remove { replica: D });
    assert_eq!(off, ReplicasOutcome::Started { change: 2 });
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
fn a_newcomer_that_is_gone_can_be_called_off_while_it_is_promoted_last() {
    let mut state = formed();
    begin(&mut state, replace(ReplacementOrder::RemoveFirst));
    advance(&mut state, 1, ChangePhase::Learning);
    let early = begin(&mut state, ChangeKind::Remove { replica: D });
    assert!(matches!(early, ReplicasOutcome::Busy { .. }));
    advance(&mut state, 1, ChangePhase::Removing);
    let off = begin(&mut state, ChangeKind::Remove { replica: D });
    assert_eq!(off, ReplicasOutcome::Started { change: 2 });
    let left = voters(&state);
    advance(&mut state, 2, ChangePhase::Removing);
    // The old replica was out of every group already and does not come back in.
    assert_eq!(voters(&state), left);
    assert_eq!(left.len(), 2);
    assert_eq!(state.replicas().len(), 2);
    let again = begin(&mut state, ChangeKind::Add { replica: D });
    assert_eq!(again, ReplicasOutcome::Started { change: 3 });
    advance(&mut state, 3, ChangePhase::Learning);
    let off = begin(&mut state, ChangeKind::Remove { replica: D });
    assert_eq!(off, ReplicasOutcome::Started { change: 4 });
}

#[test]
fn an_old_leaders_word_changes_nothing() {
    let mut state = formed();
    begin(&mut state, ChangeKind::Add { replica: D });
    advance(&mut state, 1, ChangePhase::Promoting);
    advance(&mut state, 7, ChangePhase::Learning);
    assert_eq!(
        state.change().expect("under way").phase,
        ChangePhase::Learning
    );
}

#[test]
fn changes_that_make_no_sense_are_refused() {
    let mut state = formed();
    let known = begin(&mut state, ChangeKind::Add { replica: A });
    assert!(matches!(known, ReplicasOutcome::Refused { .. }));
    let unknown = begin(&mut state, ChangeKind::Remove { replica: D });
    assert!(matches!(unknown, ReplicasOutcome::Refused { .. }));
    let taken = state.apply(ReplicasCommand::Begin {
        kind: ChangeKind::Add { replica: D },
        addresses: Some(addresses(A)),
    });
    assert!(matches!(taken, ReplicasOutcome::Refused { .. }));
    let second_form = ReplicasCommand::Form(BTreeMap::from([(D, addresses(D))]));
    state.apply(second_form);
    assert_eq!(voters(&state), [A, B, C]);
}
