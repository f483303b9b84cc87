//! Tracks the agents connected to this relay and the status changes that control has not received
//! yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sablehaven_types::{AgentId, Placement};
use sablehaven_wire::{AgentStatus, LeaseProof};

use crate::state::interest::Interest;

/// Lease age reported for an agent that was never granted a lease, in milliseconds (49 days).
const NO_LEASE_AGE_MS: u64 = u32::MAX as u64;

/// Identifies a connection of an agent to this relay.
pub type SessionId = u64;

/// The agents known to a relay. Times are durations since an arbitrary start of the relay's clock.
#[derive(Debug)]
pub struct AgentDirectory {
    report_interval: Duration,
    retention: Duration,
    agents: BTreeMap<AgentId, AgentEntry>,
    /// Agents whose status has changed since the last report.
    unreported: BTreeSet<AgentId>,
    next_report_at: Duration,
}

#[derive(Debug)]
struct AgentEntry {
    session: SessionId,
    configuration_version: u64,
    placement: Placement,
    interest: Interest,
    lease: Option<LeaseProof>,
    /// Whether the last report to control said that the agent may hold a lease.
    reported_lease_held: bool,
    disconnected_at: Option<Duration>,
}

impl AgentEntry {
    fn lease_age_ms(&self, now: Duration) -> u64 {
        self.lease
            .map_or(NO_LEASE_AGE_MS, |lease| lease.age(now).as_millis() as u64)
    }

    fn may_hold_lease(&self, now: Duration) -> bool {
        self.lease.is_some_and(|lease| lease.may_be_held(now))
    }
}

impl AgentDirectory {
    /// Creates an empty directory. Reports are at least `report_interval` apart. An agent that
    /// disconnected without a `Leave` message is removed after `retention`.
    pub fn new(report_interval: Duration, retention: Duration) -> Self {
        Self {
            report_interval,
            retention,
            agents: BTreeMap::new(),
            unreported: BTreeSet::new(),
            next_report_at: Duration::ZERO,
        }
    }

    /// Registers an agent that requests updates on a connection. Its configuration version and
    /// lease are kept from an earlier connection. For a new agent, the version is 0 until the agent
    /// acknowledges one.
    pub fn register(
        &mut self,
        session: SessionId,
        agent: &AgentId,
        placement: Placement,
        interest: Interest,
    ) {
        let previous = self.agents.remove(agent);
        let (configuration_version, lease) = previous.map_or((0, None), |entry| {
            (entry.configuration_version, entry.lease)
        });
        let entry = AgentEntry {
            session,
            configuration_version,
            placement,
            interest,
            lease,
            reported_lease_held: false,
            disconnected_at: None,
        };
        self.agents.insert(agent.clone(), entry);
        self.unreported.insert(agent.clone());
    }

    /// Records that an agent has put a configuration into force.
    pub fn record_acknowledgement(&mut self, agent: &AgentId, configuration_version: u64) {
        let Some(entry) = self.agents.get_mut(agent) else {
            return;
        };
        if configuration_version > entry.configuration_version {
            entry.configuration_version = configuration_version;
            self.unreported.insert(agent.clone());
        }
    }

    /// Records that an agent was granted a lease based on `proof`.
    pub fn record_lease(&mut self, agent: &AgentId, proof: LeaseProof) {
        let Some(entry) = self.agents.get_mut(agent) else {
            return;
        };
        entry.lease = Some(proof);
        if !entry.reported_lease_held {
            self.unreported.insert(agent.clone());
        }
    }

    /// Removes an agent that sent `Leave`.
    pub fn remove(&mut self, agent: &AgentId) {
        if self.agents.remove(agent).is_some() {
            self.unreported.insert(agent.clone());
        }
    }

    /// Records that a connection ended without a `Leave` message. The agent may still hold its
    /// lease for some time, so control must keep counting it.
    pub fn record_disconnect(&mut self, session: SessionId, agent: &AgentId, now: Duration) {
        let entry = self.agents.get_mut(agent);
        if let Some(entry) = entry.filter(|entry| entry.session == session) {
            entry.disconnected_at = Some(now);
            self.unreported.insert(agent.clone());
        }
    }

    /// Marks agents whose lease has expired for the next report, and removes agents whose retention
    /// period has passed.
    pub fn tick(&mut self, now: Duration) {
        let retention = self.retention;
        let unreported = &mut self.unreported;
        self.agents.retain(|agent, entry| {
            let is_expired = entry
                .disconnected_at
                .is_some_and(|at| now >= at + retention);
            let lost_lease = entry.reported_lease_held && !entry.may_hold_lease(now);
            if is_expired || lost_lease {
                unreported.insert(agent.clone());
            }
            !is_expired
        });
    }

    /// Marks every agent for the next report. Required when the receiving control replica knows
    /// none of them.
    pub fn report_all(&mut self) {
        self.unreported = self.agents.keys().cloned().collect();
    }

    /// Time at which the next report is due, or `None` if there is nothing to report.
    pub fn due_at(&self) -> Option<Duration> {
        (!self.unreported.is_empty()).then_some(self.next_report_at)
    }

    /// Takes the statuses that control has not received yet; `None` stands for a removed agent.
    pub fn take_report(&mut self, now: Duration) -> BTreeMap<AgentId, Option<AgentStatus>> {
        self.next_report_at = now + self.report_interval;
        let unreported = std::mem::take(&mut self.unreported);
        let report = unreported.into_iter().map(|agent| {
            let status = self
                .agents
                .get_mut(&agent)
                .map(|entry| entry.report_status(now));
            (agent, status)
        });
        report.collect()
    }

    /// The number of agents that are connected.
    pub fn connected_count(&self) -> usize {
        let entries = self.agents.values();
        entries
            .filter(|entry| entry.disconnected_at.is_none())
            .count()
    }
}

impl AgentEntry {
    fn report_status(&mut self, now: Duration) -> AgentStatus {
        self.reported_lease_held = self.may_hold_lease(now);
        AgentStatus {
            configuration_version: self.configuration_version,
            placement: self.placement.clone(),
            interest: self.interest.services().clone(),
            lease_age_ms: self.lease_age_ms(now),
        }
    }
}
