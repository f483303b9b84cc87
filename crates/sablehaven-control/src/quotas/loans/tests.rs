//! Tests of which replica is asked for a loan.

use super::*;

#[test]
fn replicas_are_asked_in_turn() {
    let lenders = [ReplicaId(3), ReplicaId(5)];
    let selected: Vec<Option<ReplicaId>> = (0..3)
        .map(|number| select_lender(&lenders, number))
        .collect();
    assert_eq!(
        selected,
        [Some(ReplicaId(3)), Some(ReplicaId(5)), Some(ReplicaId(3))]
    );
}

#[test]
fn no_lender_is_selected_without_connected_replicas() {
    assert_eq!(select_lender(&[], 9), None);
}
