//! Tests of automatic changes of the control replicas.

use std::{net::SocketAddr, time::Duration};

use sablehaven_consensus::ReplicaId;

use super::{MemberView, NewcomerView, RepairPolicy, next_change};
use crate::replicas::{ChangeKind, ChangePhase, ReplacementOrder, ReplicaAddresses, ReplicaChange};

const POLICY: RepairPolicy = RepairPolicy {
    patience: Duration::from_secs(2),
    minimum_members: 3,
    maximum_members: 7,
};

fn address(host: u8) -> SocketAddr {
    ([127, 0, 0, host], 7000).into()
}

fn member(replica: u64, silent_ms: u64) -> MemberView {
    MemberView {
        replica: ReplicaId(replica),
        internal: address(replica as u8),
        silent_for: Duration::from_millis(silent_ms),
    }
}

fn newcomer(replica: u64, host: u8) -> NewcomerView {
    NewcomerView {
        replica: ReplicaId(replica),
        addresses: ReplicaAddresses {
            internal: address(host),
            http: address(host),
        },
    }
}

fn decide(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    current_change: Option<&ReplicaChange>,
) -> Option<ChangeKind> {
    next_change(members, newcomers, current_change, &POLICY).map(|planned| planned.kind)
}

fn replace(old: u64, new: u64) -> ChangeKind {
    ChangeKind::Replace {
        old: ReplicaId(old),
        new: ReplicaId(new),
        order: ReplacementOrder::RemoveFirst,
    }
}

#[test]
fn nothing_is_changed_if_all_members_respond_or_no_newcomer_is_connected() {
    let responsive = [member(1, 0), member(2, 0), member(3, 0)];
    assert_eq!(decide(&responsive, &[], None), None);
    let one_silent = [member(1, 0), member(2, 0), member(3, 60_000)];
    assert_eq!(decide(&one_silent, &[], None), None);
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_immediately_by_the_newcomer_at_its_address() {
    let members = [member(1, 0), member(2, 0), member(3, 400)];
    let found = decide(&members, &[newcomer(9, 3)], None);
    assert_eq!(found, Some(replace(3, 9)));
}

#[test]
fn a_member_that_still_responds_is_not_replaced_by_a_newcomer_at_its_address() {
    let members = [member(1, 0), member(2, 0), member(3, 0)];
    let found = decide(&members, &[newcomer(9, 3)], None);
    assert_eq!(found, None);
}

#[test]
fn a_newcomer_at_another_address_replaces_a_silent_member_only_after_the_patience() {
    let within_patience = [member(1, 0), member(2, 0), member(3, 1_900)];
    assert_eq!(decide(&within_patience, &[newcomer(9, 9)], None), None);
    let failed = [member(1, 0), member(2, 0), member(3, 2_000)];
    assert_eq!(
        decide(&failed, &[newcomer(9, 9)], None),
        Some(replace(3, 9))
    );
}

#[test]
fn a_newcomer_is_added_to_a_responsive_group_and_a_silent_member_is_removed_later() {
    let responsive = [member(1, 0), member(2, 0), member(3, 0)];
    let added = ChangeKind::Add {
        replica: ReplicaId(9),
    };
    assert_eq!(decide(&responsive, &[newcomer(9, 9)], None), Some(added));
    let four = [member(1, 0), member(2, 0), member(3, 2_500), member(9, 0)];
    let removed = ChangeKind::Remove {
        replica: ReplicaId(3),
    };
    assert_eq!(decide(&four, &[], None), Some(removed));
}

#[test]
fn a_change_whose_newcomer_has_failed_is_cancelled() {
    let change = |phase| ReplicaChange {
        number: 1,
        kind: replace(3, 9),
        phase,
    };
    let members = [
        member(1, 0),
        member(2, 0),
        member(3, 5_000),
        member(9, 2_100),
    ];
    let cancellation = ChangeKind::Remove {
        replica: ReplicaId(9),
    };
    for phase in [ChangePhase::Learning, ChangePhase::Promoting] {
        assert_eq!(
            decide(&members, &[], Some(&change(phase))),
            Some(cancellation)
        );
    }
    let alive = [member(1, 0), member(2, 0), member(3, 5_000), member(9, 0)];
    assert_eq!(
        decide(&alive, &[], Some(&change(ChangePhase::Learning))),
        None
    );
}

#[test]
fn a_change_whose_newcomer_lost_its_disk_is_cancelled_immediately() {
    let change = ReplicaChange {
        number: 1,
        kind: replace(3, 9),
        phase: ChangePhase::Learning,
    };
    let mut joining = member(9, 300);
    joining.internal = address(3);
    let members = [member(1, 0), member(2, 0), member(3, 5_000), joining];
    let cancellation = ChangeKind::Remove {
        replica: ReplicaId(9),
    };
    assert_eq!(
        decide(&members, &[newcomer(10, 3)], Some(&change)),
        Some(cancellation)
    );
}
