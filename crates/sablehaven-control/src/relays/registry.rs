//! The relays that are connected to this replica, and the agents that they report. The registry is kept in memory only,
//! since relays and agents change often and a new leader receives their reports within the duration of a lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{AgentId, Placement, RelayId, ServiceName, ZoneName};
use sablehaven_wire::AgentStatus;
use tokio::sync::watch;

/// The number of a relay's connection, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionId(u64);

/// The state of an agent, merged from the reports of all relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentReport {
    pub(crate) agent: AgentId,
    pub(crate) configuration_version: u64,
    pub(crate) placement: Placement,
    pub(crate) interest: BTreeSet<ServiceName>,
    /// Time since the agent was last known to be granted a lease.
    pub(crate) lease_age: Duration,
    /// Whether the agent may still hold a lease.
    pub(crate) may_hold_lease: bool,
}

/// A connected relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayReport {
    /// The identity of the relay, once the relay has sent it.
    pub(crate) relay: Option<RelayId>,
    pub(crate) address: SocketAddr,
    /// The number of agents that the relay reports.
    pub(crate) agents: usize,
}

/// The relays and agents known to this replica; cheap to clone.
#[derive(Clone)]
pub(crate) struct Registry {
    lease_duration: Duration,
    sessions: Arc<Mutex<Sessions>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Default)]
struct Sessions {
    last_id: u64,
    /// The open sessions, and the ended ones whose agents may still hold leases.
    by_id: BTreeMap<SessionId, Session>,
}

/// The connection of one relay.
struct Session {
    relay: Option<RelayId>,
    address: SocketAddr,
    agents: BTreeMap<AgentId, ReportedStatus>,
    /// When the connection ended. Its agents may hold leases for the duration of a lease after that.
    ended_at: Option<Instant>,
}

/// The latest status that a relay reported of one of its agents.
struct ReportedStatus {
    status: AgentStatus,
    received_at: Instant,
}

impl Registry {
    pub(crate) fn new(lease_duration: Duration) -> Self {
        Self {
            lease_duration,
            sessions: Arc::default(),
            changes: Arc::new(watch::channel(0).0),
        }
    }

    /// A receiver that is notified of each change of the reports.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Adds a connection.
    pub(crate) fn open(&self, address: SocketAddr) -> SessionId {
        let mut sessions = self.lock();
        sessions.last_id += 1;
        let id = SessionId(sessions.last_id);
        let session = Session {
            relay: None,
            address,
            agents: BTreeMap::new(),
            ended_at: None,
        };
        sessions.by_id.insert(id, session);
        id
    }

    /// Records the identity of the relay at the other end of a connection.
    pub(crate) fn set_relay(&self, id: SessionId, relay: RelayId) {
        if let Some(session) = self.lock().by_id.get_mut(&id) {
            session.relay = Some(relay);
        }
    }

    /// Records a relay's report of its agents. A status of `None` means that the agent left.
    pub(crate) fn report(&self, id: SessionId, agents: BTreeMap<AgentId, Option<AgentStatus>>) {
        let received_at = Instant::now();
        if let Some(session) = self.lock().by_id.get_mut(&id) {
            for (agent, status) in agents {
                match status {
                    Some(status) => {
                        session.agents.insert(
                            agent,
                            ReportedStatus {
                                status,
                                received_at,
                            },
                        );
                    }
                    None => {
                        session.agents.remove(&agent);
                    }
                }
            }
        }
        self.notify();
    }

    /// Records the end of a connection. Its agents are kept until all their leases have expired.
    pub(crate) fn close(&self, id: SessionId) {
        if let Some(session) = self.lock().by_id.get_mut(&id) {
            session.ended_at = Some(Instant::now());
        }
        self.notify();
    }

    /// Returns every known agent once, with the highest version that any relay reports. An agent that changes its relay
    /// is reported by both for a while; since its version never decreases, the highest one is the latest.
    pub(crate) fn agents(&self) -> Vec<AgentReport> {
        let mut merged: BTreeMap<AgentId, AgentReport> = BTreeMap::new();
        let now = Instant::now();
        let mut sessions = self.lock();
        sessions.remove_expired(now, self.lease_duration);
        for session in sessions.by_id.values() {
            for (agent, reported) in &session.agents {
                let report = session.agent_report(agent, reported, now, self.lease_duration);
                match merged.get_mut(agent) {
                    Some(known) => known.merge(report),
                    None => {
                        merged.insert(agent.clone(), report);
                    }
                }
            }
        }
        merged.into_values().collect()
    }

    /// The number of known agents.
    pub(crate) fn agent_count(&self) -> usize {
        let sessions = self.lock();
        let agents = sessions
            .by_id
            .values()
            .flat_map(|session| session.agents.keys());
        agents.collect::<BTreeSet<_>>().len()
    }

    /// Every connected relay.
    pub(crate) fn relays(&self) -> Vec<RelayReport> {
        let sessions = self.lock();
        let connected = sessions
            .by_id
            .values()
            .filter(|session| session.ended_at.is_none());
        connected
            .map(|session| RelayReport {
                relay: session.relay.clone(),
                address: session.address,
                agents: session.agents.len(),
            })
            .collect()
    }

    /// The zone of an agent according to the relay of one connection.
    pub(crate) fn zone(&self, id: SessionId, agent: &AgentId) -> Option<ZoneName> {
        let sessions = self.lock();
        let reported = sessions.by_id.get(&id)?.agents.get(agent)?;
        Some(reported.status.placement.zone.clone())
    }

    /// Notifies the receivers of a change.
    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sessions {
    /// Removes the sessions that ended at least the duration of a lease ago.
    fn remove_expired(&mut self, now: Instant, lease_duration: Duration) {
        self.by_id.retain(|_, session| {
            let ended_at = session.ended_at;
            ended_at.is_none_or(|ended_at| now.duration_since(ended_at) < lease_duration)
        });
    }
}

impl Session {
    /// Combines a reported status with the time since the report.
    ///
    /// An agent that was reported with a lease counts as a holder while the connection is open, since the relay would
    /// report the expiry, and for the duration of a lease after the connection has ended.
    fn agent_report(
        &self,
        agent: &AgentId,
        reported: &ReportedStatus,
        now: Instant,
        lease_duration: Duration,
    ) -> AgentReport {
        let age_at_report = Duration::from_millis(reported.status.lease_age_ms);
        let held_at_report = age_at_report < lease_duration;
        let is_recent = self
            .ended_at
            .is_none_or(|ended_at| now.duration_since(ended_at) < lease_duration);
        let age_increase = match self.ended_at {
            Some(ended_at) => now.duration_since(ended_at),
            None if held_at_report => Duration::ZERO,
            None => now.duration_since(reported.received_at),
        };
        AgentReport {
            agent: agent.clone(),
            configuration_version: reported.status.configuration_version,
            placement: reported.status.placement.clone(),
            interest: reported.status.interest.clone(),
            lease_age: age_at_report + age_increase,
            may_hold_lease: held_at_report && is_recent,
        }
    }
}

impl AgentReport {
    /// Merges another relay's report of the same agent.
    fn merge(&mut self, other: Self) {
        self.may_hold_lease |= other.may_hold_lease;
        self.lease_age = self.lease_age.min(other.lease_age);
        if other.configuration_version > self.configuration_version {
            self.configuration_version = other.configuration_version;
            self.placement = other.placement;
            self.interest = other.interest;
        }
    }
}
