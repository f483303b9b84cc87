//! Tests of the agent statuses that a relay reports to control.

mod support;

use std::time::Duration;

use sablehaven_relay::{AgentDirectory, Interest};
use sablehaven_types::AgentId;
use sablehaven_wire::{LeaseGrant, LeaseProof, LeaseRequests};
use support::placement;

const REPORT_INTERVAL: Duration = Duration::from_millis(20);
const RETENTION: Duration = Duration::from_secs(30);

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn proof(at: Duration) -> LeaseProof {
    let mut requests = LeaseRequests::default();
    let grant = LeaseGrant {
        nonce: requests.record_request(at),
        age_ms: 0,
        duration_ms: 3_000,
        revision: 1,
        configuration_version: 1,
    };
    requests.accept_grant(&grant).expect("the request is open")
}

/// A directory with one agent that was granted a lease at 100 ms and has been reported to control.
fn directory_with_reported_agent() -> (AgentDirectory, AgentId) {
    let mut directory = AgentDirectory::new(REPORT_INTERVAL, RETENTION);
    let agent = AgentId::from("agent-1");
    directory.register(1, &agent, placement(), Interest::default());
    directory.record_acknowledgement(&agent, 4);
    directory.record_lease(&agent, proof(milliseconds(100)));
    let report = directory.take_report(milliseconds(150));
    let status = report[&agent].as_ref().expect("the agent is known");
    assert_eq!(status.configuration_version, 4);
    assert_eq!(status.lease_age_ms, 50);
    assert_eq!(directory.due_at(), None);
    (directory, agent)
}

#[test]
fn only_changes_are_reported_and_at_most_once_per_interval() {
    let (mut directory, agent) = directory_with_reported_agent();
    directory.record_acknowledgement(&agent, 4);
    directory.record_lease(&agent, proof(milliseconds(200)));
    assert_eq!(directory.due_at(), None, "no change to report");
    directory.record_acknowledgement(&agent, 5);
    assert_eq!(
        directory.due_at(),
        Some(milliseconds(150) + REPORT_INTERVAL)
    );
    let report = directory.take_report(milliseconds(200));
    assert_eq!(report.len(), 1);
}

#[test]
fn an_expired_lease_is_reported() {
    let (mut directory, agent) = directory_with_reported_agent();
    directory.tick(milliseconds(3_000));
    assert_eq!(directory.due_at(), None);
    directory.tick(milliseconds(3_100));
    let report = directory.take_report(milliseconds(3_100));
    let status = report[&agent].as_ref().expect("the agent is known");
    assert_eq!(status.lease_age_ms, 3_000);
}

#[test]
fn an_agent_that_disconnects_without_leaving_is_reported_until_its_retention_ends() {
    let (mut directory, agent) = directory_with_reported_agent();
    directory.record_disconnect(1, &agent, milliseconds(200));
    assert_eq!(directory.connected_count(), 0);
    let report = directory.take_report(milliseconds(200));
    assert!(
        report[&agent].is_some(),
        "the agent may still hold its lease"
    );
    directory.tick(milliseconds(200) + RETENTION);
    let report = directory.take_report(milliseconds(200) + RETENTION);
    assert_eq!(report[&agent], None);
}

#[test]
fn an_agent_that_leaves_is_reported_as_removed() {
    let (mut directory, agent) = directory_with_reported_agent();
    directory.remove(&agent);
    directory.record_disconnect(1, &agent, milliseconds(200));
    let report = directory.take_report(milliseconds(200));
    assert_eq!(report[&agent], None);
}

#[test]
fn the_end_of_an_old_connection_does_not_affect_the_new_one() {
    let (mut directory, agent) = directory_with_reported_agent();
    directory.register(2, &agent, placement(), Interest::default());
    directory.record_disconnect(1, &agent, milliseconds(200));
    assert_eq!(directory.connected_count(), 1);
    directory.tick(milliseconds(300) + RETENTION);
    let report = directory.take_report(milliseconds(300) + RETENTION);
    let status = report[&agent].as_ref().expect("the agent is known");
    assert_eq!(status.configuration_version, 4, "the version is kept");
}

#[test]
fn every_agent_is_reported_to_a_new_leader() {
    let (mut directory, _) = directory_with_reported_agent();
    directory.report_all();
    assert_eq!(directory.take_report(milliseconds(500)).len(), 1);
}
