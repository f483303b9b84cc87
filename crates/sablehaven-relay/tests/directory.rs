//! What control hears of the agents behind a relay.

mod support;

use std::time::Duration;

use sablehaven_relay::{AgentDirectory, Interest};
use sablehaven_types::AgentId;
use sablehaven_wire::{LeaseGrant, LeaseProof, LeaseRequests};
use support::placement;

const INTERVAL: Duration = Duration::from_millis(20);
const FORGET: Duration = Duration::from_secs(30);

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn proof(at: Duration) -> LeaseProof {
    let mut requests = LeaseRequests::default();
    let grant = LeaseGrant {
        nonce: requests.request(at),
        age_ms: 0,
        duration_ms: 3_000,
        revision: 1,
        configuration_version: 1,
    };
    requests.granted(&grant).expect("open")
}

/// A directory with one agent that holds a lease since 100 ms, of which control knows.
fn with_known_agent() -> (AgentDirectory, AgentId) {
    let mut directory = AgentDirectory::new(INTERVAL, FORGET);
    let agent = AgentId::from("agent-1");
    directory.watches(1, &agent, placement(), Interest::default());
    directory.acknowledges(&agent, 4);
    directory.leased(&agent, proof(milliseconds(100)));
    let report = directory.take_report(milliseconds(150));
    let status = report[&agent].as_ref().expect("connected");
    assert_eq!(status.configuration_version, 4);
    assert_eq!(status.lease_age_ms, 50);
    assert_eq!(directory.due_at(), None);
    (directory, agent)
}

#[test]
fn only_changes_are_reported_at_most_once_an_interval() {
    let (mut directory, agent) = with_known_agent();
    directory.acknowledges(&agent, 4);
    directory.leased(&agent, proof(milliseconds(200)));
    assert_eq!(directory.due_at(), None, "nothing changed for control");
    directory.acknowledges(&agent, 5);
    assert_eq!(directory.due_at(), Some(milliseconds(150) + INTERVAL));
    let report = directory.take_report(milliseconds(200));
    assert_eq!(report.len(), 1);
}

#[test]
fn an_agent_that_lost_its_lease_is_reported() {
    let (mut directory, agent) = with_known_agent();
    directory.tick(milliseconds(3_000));
    assert_eq!(directory.due_at(), None);
    directory.tick(milliseconds(3_100));
    let report = directory.take_report(milliseconds(3_100));
    let status = report[&agent].as_ref().expect("connected");
    assert_eq!(status.lease_age_ms, 3_000);
}

#[test]
fn an_agent_without_a_goodbye_counts_until_it_is_forgotten() {
    let (mut directory, agent) = with_known_agent();
    directory.disconnected(1, &agent, milliseconds(200));
    assert_eq!(directory.connected(), 0);
    let report = directory.take_report(milliseconds(200));
    assert!(report[&agent].is_some(), "it may hold its lease");
    directory.tick(milliseconds(200) + FORGET);
    let report = directory.take_report(milliseconds(200) + FORGET);
    assert_eq!(report[&agent], None);
}

#[test]
fn a_goodbye_is_reported_at_once() {
    let (mut directory, agent) = with_known_agent();
    directory.leaves(&agent);
    directory.disconnected(1, &agent, milliseconds(200));
    let report = directory.take_report(milliseconds(200));
    assert_eq!(report[&agent], None);
}

#[test]
fn the_end_of_an_old_connection_does_not_hide_the_new_one() {
    let (mut directory, agent) = with_known_agent();
    directory.watches(2, &agent, placement(), Interest::default());
    directory.disconnected(1, &agent, milliseconds(200));
    assert_eq!(directory.connected(), 1);
    directory.tick(milliseconds(300) + FORGET);
    let report = directory.take_report(milliseconds(300) + FORGET);
    let status = report[&agent].as_ref().expect("connected");
    assert_eq!(status.configuration_version, 4, "it only moves forward");
}

#[test]
fn a_new_leader_hears_of_every_agent() {
    let (mut directory, _) = with_known_agent();
    directory.report_all();
    assert_eq!(directory.take_report(milliseconds(500)).len(), 1);
}
