//! The agents behind this relay, and which of their statuses control has not heard of.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sablehaven_types::{AgentId, Placement};
use sablehaven_wire::{AgentStatus, LeaseProof};

use crate::state::interest::Interest;

/// The age that is reported for an agent which never had a lease, in milliseconds (49 days).
const NEVER_MS: u64 = u32::MAX as u64;

/// Numbers the connections of agents to this relay.
pub type SessionId = u64;

/// The agents behind a relay. Times are durations since an arbitrary start of the relay's clock.
#[derive(Debug)]
pub struct AgentDirectory {
    interval: Duration,
    forget_after: Duration,
    agents: BTreeMap<AgentId, AgentEntry>,
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
    reported_as_holder: bool,
    disconnected_at: Option<Duration>,
}

impl AgentEntry {
    fn lease_age_ms(&self, now: Duration) -> u64 {
        self.lease
            .map_or(NEVER_MS, |lease| lease.age(now).as_millis() as u64)
    }

    fn may_hold_lease(&self, now: Duration) -> bool {
        self.lease.is_some_and(|lease| lease.may_be_held(now))
    }
}

impl AgentDirectory {
    /// An empty directory that gives a report at most once an `interval`, and forgets agents that
    /// went without a goodbye after `forget_after`.
    pub fn new(interval: Duration, forget_after: Duration) -> Self {
        Self {
            interval,
            forget_after,
            agents: BTreeMap::new(),
            unreported: BTreeSet::new(),
            next_report_at: Duration::ZERO,
        }
    }

    /// An agent asks for updates on a connection. What it has in force is known once it
    /// acknowledges it.
    pub fn watches(
        &mut self,
        session: SessionId,
        agent: &AgentId,
        placement: Placement,
        interest: Interest,
    ) {
        let known = self.agents.remove(agent);
        let (configuration_version, lease) = known.map_or((0, None), |entry| {
            (entry.configuration_version, entry.lease)
        });
        let entry = AgentEntry {
            session,
            configuration_version,
            placement,
            interest,
            lease,
            reported_as_holder: false,
            disconnected_at: None,
        };
        self.agents.insert(agent.clone(), entry);
        self.unreported.insert(agent.clone());
    }

    /// An agent has put a configuration in force.
    pub fn acknowledges(&mut self, agent: &AgentId, configuration_version: u64) {
        let Some(entry) = self.agents.get_mut(agent) else {
            return;
        };
        if configuration_version > entry.configuration_version {
            entry.configuration_version = configuration_version;
            self.unreported.insert(agent.clone());
        }
    }

    /// An agent was sent a lease on the grounds of a proof.
    pub fn leased(&mut self, agent: &AgentId, proof: LeaseProof) {
        let Some(entry) = self.agents.get_mut(agent) else {
            return;
        };
        entry.lease = Some(proof);
        if !entry.reported_as_holder {
            self.unreported.insert(agent.clone());
        }
    }

    /// An agent said goodbye.
    pub fn leaves(&mut self, agent: &AgentId) {
        if self.agents.remove(agent).is_some() {
            self.unreported.insert(agent.clone());
        }
    }

    /// A connection ended without a goodbye. The agent may hold its lease for a while yet, so
    /// control must go on counting it.
    pub fn disconnected(&mut self, session: SessionId, agent: &AgentId, now: Duration) {
        let entry = self.agents.get_mut(agent);
        if let Some(entry) = entry.filter(|entry| entry.session == session) {
            entry.disconnected_at = Some(now);
            self.unreported.insert(agent.clone());
        }
    }

    /// Notes leases that ran out, and forgets agents that went long ago.
    pub fn tick(&mut self, now: Duration) {
        let forget_after = self.forget_after;
        let unreported = &mut self.unreported;
        self.agents.retain(|agent, entry| {
            let forgotten = entry
                .disconnected_at
                .is_some_and(|at| now >= at + forget_after);
            let ran_out = entry.reported_as_holder && !entry.may_hold_lease(now);
            if forgotten || ran_out {
                unreported.insert(agent.clone());
            }
            !forgotten
        });
    }

    /// Every agent must be reported anew, to a control replica that knows none of them.
    pub fn report_all(&mut self) {
        self.unreported = self.agents.keys().cloned().collect();
    }

    /// When the next report is due; `None` while there is nothing to report.
    pub fn due_at(&self) -> Option<Duration> {
        (!self.unreported.is_empty()).then_some(self.next_report_at)
    }

    /// The statuses that control has not heard of; `None` for agents that are gone.
    pub fn take_report(&mut self, now: Duration) -> BTreeMap<AgentId, Option<AgentStatus>> {
        self.next_report_at = now + self.interval;
        let unreported = std::mem::take(&mut self.unreported);
        let report = unreported.into_iter().map(|agent| {
            let status = self.agents.get_mut(&agent).map(|entry| entry.report(now));
            (agent, status)
        });
        report.collect()
    }

    /// The number of agents that are connected.
    pub fn connected(&self) -> usize {
        let entries = self.agents.values();
        entries
            .filter(|entry| entry.disconnected_at.is_none())
            .count()
    }
}

impl AgentEntry {
    fn report(&mut self, now: Duration) -> AgentStatus {
        self.reported_as_holder = self.may_hold_lease(now);
        AgentStatus {
            configuration_version: self.configuration_version,
            placement: self.placement.clone(),
            interest: self.interest.services().clone(),
            lease_age_ms: self.lease_age_ms(now),
        }
    }
}
