use super::*;

#[test]
fn replicas_are_asked_in_turn() {
    let lenders = [ReplicaId(3), ReplicaId(5)];
    let turns: Vec<Option<ReplicaId>> = (0..3).map(|turn| lender(&lenders, turn)).collect();
    assert_eq!(
        turns,
        [Some(ReplicaId(3)), Some(ReplicaId(5)), Some(ReplicaId(3))]
    );
}

#[test]
fn without_connected_replicas_nobody_is_asked() {
    assert_eq!(lender(&[], 9), None);
}
