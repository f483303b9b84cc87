//! Tests of the decision whether a new replica forms a deployment.

use std::{collections::BTreeSet, net::SocketAddr};

use sablehaven_consensus::ReplicaId;

use super::{Decision, Introduction, decide};
use crate::replicas::ReplicaAddresses;

fn new_replica(number: u64) -> Introduction {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16));
    Introduction {
        replica: ReplicaId(number),
        addresses: ReplicaAddresses {
            internal: address,
            http: address,
        },
        ledger_groups: 4,
        may_bootstrap: true,
        is_formed: false,
        members: std::collections::BTreeSet::new(),
        first_voters: None,
    }
}

fn voters(numbers: &[u64]) -> BTreeSet<ReplicaId> {
    numbers.iter().copied().map(ReplicaId).collect()
}

#[test]
fn the_new_replica_with_the_lowest_identity_forms_the_deployment() {
    let [first, second, third] = [1, 2, 3].map(new_replica);
    let formed = Decision::Form(voters(&[1, 2, 3]));
    let peers = [third.clone(), second.clone()];
    assert_eq!(decide(&first, &peers, 2), formed);
    let peers = [first, third];
    assert_eq!(decide(&second, &peers, 2), Decision::Wait);
    assert_eq!(
        decide(&new_replica(1), &[], 0),
        Decision::Form(voters(&[1]))
    );
}

#[test]
fn a_new_replica_waits_unless_all_replicas_answer_and_may_form_a_deployment() {
    let own = new_replica(1);
    assert_eq!(decide(&own, &[new_replica(2)], 2), Decision::Wait);
    let mut formed = new_replica(3);
    formed.is_formed = true;
    assert_eq!(decide(&own, &[new_replica(2), formed], 2), Decision::Wait);
    let mut may_not_form = new_replica(3);
    may_not_form.may_bootstrap = false;
    assert_eq!(
        decide(&own, &[new_replica(2), may_not_form], 2),
        Decision::Wait
    );
    let mut own = own;
    own.may_bootstrap = false;
    let peers = [new_replica(2), new_replica(3)];
    assert_eq!(decide(&own, &peers, 2), Decision::Wait);
}

#[test]
fn a_new_replica_adopts_only_a_set_of_first_voters_that_contains_it() {
    let own = new_replica(3);
    let mut formed = new_replica(1);
    formed.is_formed = true;
    formed.first_voters = Some(voters(&[1, 2, 3]));
    let adopted = Decision::Form(voters(&[1, 2, 3]));
    assert_eq!(decide(&own, &[formed.clone()], 2), adopted);
    // This set contains identity 9, under which this replica ran before it lost its disk.
    formed.first_voters = Some(voters(&[1, 2, 9]));
    assert_eq!(decide(&own, &[formed, new_replica(4)], 2), Decision::Wait);
}
