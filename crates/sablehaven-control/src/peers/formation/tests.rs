//! When a new replica forms a deployment.

use std::{collections::BTreeSet, net::SocketAddr};

use sablehaven_consensus::ReplicaId;

use super::{Introduction, Verdict, decide};
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
fn the_lowest_of_all_new_replicas_forms_the_deployment() {
    let [first, second, third] = [1, 2, 3].map(new_replica);
    let formed = Verdict::Form(voters(&[1, 2, 3]));
    let peers = [third.clone(), second.clone()];
    assert_eq!(decide(&first, &peers, 2), formed);
    let peers = [first, third];
    assert_eq!(decide(&second, &peers, 2), Verdict::Wait);
    assert_eq!(decide(&new_replica(1), &[], 0), Verdict::Form(voters(&[1])));
}

#[test]
fn nobody_forms_beside_a_peer_that_is_missing_or_holds_a_log_or_may_not() {
    let own = new_replica(1);
    assert_eq!(decide(&own, &[new_replica(2)], 2), Verdict::Wait);
    let mut formed = new_replica(3);
    formed.is_formed = true;
    assert_eq!(decide(&own, &[new_replica(2), formed], 2), Verdict::Wait);
    let mut joiner = new_replica(3);
    joiner.may_bootstrap = false;
    assert_eq!(decide(&own, &[new_replica(2), joiner], 2), Verdict::Wait);
    let mut own = own;
    own.may_bootstrap = false;
    let peers = [new_replica(2), new_replica(3)];
    assert_eq!(decide(&own, &peers, 2), Verdict::Wait);
}

#[test]
fn a_new_replica_takes_over_the_list_that_names_it_and_no_other() {
    let own = new_replica(3);
    let mut formed = new_replica(1);
    formed.is_formed = true;
    formed.first_voters = Some(voters(&[1, 2, 3]));
    let taken_over = Verdict::Form(voters(&[1, 2, 3]));
    assert_eq!(decide(&own, &[formed.clone()], 2), taken_over);
    // The list names the disk that was here before.
    formed.first_voters = Some(voters(&[1, 2, 9]));
    assert_eq!(decide(&own, &[formed, new_replica(4)], 2), Verdict::Wait);
}
