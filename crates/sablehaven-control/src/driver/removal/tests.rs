//! A removal is complete only once the removed member can no longer spend its part of the quotas.

use std::collections::BTreeMap;

use sablehaven_consensus::ReplicaId;

use super::*;
use crate::replicas::{ReplacementOrder, ReplicaAddresses, ReplicasCommand};

const PATIENCE: Duration = Duration::from_secs(3);
const TERM: u64 = 7;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn addresses(port: u16) -> ReplicaAddresses {
    ReplicaAddresses {
        internal: ([127, 0, 0, 1], port).into(),
        http: ([127, 0, 0, 1], port + 1).into(),
    }
}

/// Replicas 1 to 3, with this change in progress.
fn with_change(kind: ChangeKind, joining: Option<ReplicaAddresses>) -> ReplicasState {
    let mut replicas = ReplicasState::default();
    let members = [1, 2, 3].map(|number| (ReplicaId(number), addresses(10 * number as u16)));
    replicas.apply(ReplicasCommand::Form(BTreeMap::from(members)));
    let addresses = joining;
    replicas.apply(ReplicasCommand::Begin { kind, addresses });
    replicas
}

/// The monitor of a leader that has led since time 0, and its record of grants.
fn monitor() -> (RemovalMonitor, Arc<Mutex<PartGrants>>) {
    let grants: Arc<Mutex<PartGrants>> = Arc::default();
    grants
        .lock()
        .expect("grants")
        .record_leadership(at(0), TERM);
    (RemovalMonitor::new(Arc::clone(&grants), PATIENCE), grants)
}

fn is_removal_complete(
    monitor: &mut RemovalMonitor,
    now: Duration,
    term: u64,
    replicas: &ReplicasState,
) -> bool {
    let change = replicas.change().expect("a change");
    monitor.is_removal_complete(now, term, change, replicas)
}

const REMOVED: ReplicaId = ReplicaId(3);

#[test]
fn removing_a_member_that_was_silent_for_the_patience_completes_at_once() {
    let replicas = with_change(ChangeKind::Remove { replica: REMOVED }, None);
    let (mut monitor, grants) = monitor();
    grants
        .lock()
        .expect("grants")
        .record_probe(at(1_000), REMOVED);
    assert!(is_removal_complete(
        &mut monitor,
        at(9_000),
        TERM,
        &replicas
    ));
}

#[test]
fn removing_a_member_that_probed_recently_completes_after_the_patience() {
    let replicas = with_change(ChangeKind::Remove { replica: REMOVED }, None);
    let (mut monitor, grants) = monitor();
    grants
        .lock()
        .expect("grants")
        .record_probe(at(9_000), REMOVED);
    assert!(!is_removal_complete(
        &mut monitor,
        at(9_100),
        TERM,
        &replicas
    ));
    assert!(!is_removal_complete(
        &mut monitor,
        at(11_999),
        TERM,
        &replicas
    ));
    assert!(is_removal_complete(
        &mut monitor,
        at(12_000),
        TERM,
        &replicas
    ));
}

#[test]
fn a_new_leader_restarts_the_wait() {
    let replicas = with_change(ChangeKind::Remove { replica: REMOVED }, None);
    let (mut monitor, grants) = monitor();
    grants
        .lock()
        .expect("grants")
        .record_probe(at(9_000), REMOVED);
    assert!(!is_removal_complete(
        &mut monitor,
        at(9_100),
        TERM,
        &replicas
    ));
    assert!(!is_removal_complete(
        &mut monitor,
        at(12_000),
        TERM + 1,
        &replicas
    ));
    assert!(!is_removal_complete(
        &mut monitor,
        at(14_999),
        TERM + 1,
        &replicas
    ));
    assert!(is_removal_complete(
        &mut monitor,
        at(15_000),
        TERM + 1,
        &replicas
    ));
}

#[test]
fn a_replacement_at_the_same_address_completes_at_once() {
    let kind = ChangeKind::Replace {
        old: REMOVED,
        new: ReplicaId(4),
        order: ReplacementOrder::RemoveFirst,
    };
    let (mut monitor, grants) = monitor();
    grants
        .lock()
        .expect("grants")
        .record_probe(at(9_000), REMOVED);
    let in_place = with_change(kind, Some(addresses(30)));
    assert!(is_removal_complete(
        &mut monitor,
        at(9_100),
        TERM,
        &in_place
    ));
    let elsewhere = with_change(kind, Some(addresses(40)));
    assert!(!is_removal_complete(
        &mut monitor,
        at(9_100),
        TERM,
        &elsewhere
    ));
}
