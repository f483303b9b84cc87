//! Which relays are connected to this replica and which agents they report. Kept in memory: agents
//! and relays come and go, and whoever leads next hears of them within a lease's duration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{AgentId, Placement, RelayId, ServiceName, ZoneName};
use sablehaven_wire::AgentStatus;
use tokio::sync::watch;

/// Numbers the connections of relays to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionId(u64);

/// An agent as all relays together report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentReport {
    pub(crate) agent: AgentId,
    pub(crate) configuration_version: u64,
    pub(crate) placement: Placement,
    pub(crate) interest: BTreeSet<ServiceName>,
    /// Time since it was last known to be granted a lease.
    pub(crate) lease_age: Duration,
    /// Whether it may still hold one.
    pub(crate) may_hold_lease: bool,
}

/// A connected relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayReport {
    pub(crate) relay: Option<RelayId>,
    pub(crate) address: SocketAddr,
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
    last: u64,
    open: BTreeMap<SessionId, Session>,
}

struct Session {
    relay: Option<RelayId>,
    address: SocketAddr,
    agents: BTreeMap<AgentId, Reported>,
    /// When the connection ended; its agents may hold leases for a while after it.
    ended_at: Option<Instant>,
}

struct Reported {
    status: AgentStatus,
    at: Instant,
}

impl Registry {
    pub(crate) fn new(lease_duration: Duration) -> Self {
        Self {
            lease_duration,
            sessions: Arc::default(),
            changes: Arc::new(watch::channel(0).0),
        }
    }

    /// Follows changes of the reports.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn open(&self, address: SocketAddr) -> SessionId {
        let mut sessions = self.lock();
        sessions.last += 1;
        let id = SessionId(sessions.last);
        let session = Session {
            relay: None,
            address,
            agents: BTreeMap::new(),
            ended_at: None,
        };
        sessions.open.insert(id, session);
        id
    }

    pub(crate) fn name(&self, id: SessionId, relay: RelayId) {
        if let Some(session) = self.lock().open.get_mut(&id) {
            session.relay = Some(relay);
        }
    }

    /// Takes a relay's report of its agents; `None` means that the agent left.
    pub(crate) fn report(&self, id: SessionId, agents: BTreeMap<AgentId, Option<AgentStatus>>) {
        let at = Instant::now();
        if let Some(session) = self.lock().open.get_mut(&id) {
            for (agent, status) in agents {
                match status {
                    Some(status) => {
                        session.agents.insert(agent, Reported { status, at });
                    }
                    None => {
                        session.agents.remove(&agent);
                    }
                }
            }
        }
        self.changed();
    }

    /// The connection has ended: its agents count until their leases must have run out.
    pub(crate) fn close(&self, id: SessionId) {
        if let Some(session) = self.lock().open.get_mut(&id) {
            session.ended_at = Some(Instant::now());
        }
        self.changed();
    }

    /// Every known agent once, with the largest version that any relay reports: an agent that moves
    /// is reported by two relays for a while, and agents only move forward.
    pub(crate) fn agents(&self) -> Vec<AgentReport> {
        let mut merged: BTreeMap<AgentId, AgentReport> = BTreeMap::new();
        let now = Instant::now();
        let mut sessions = self.lock();
        sessions.forget_ended(now, self.lease_duration);
        for session in sessions.open.values() {
            for (agent, reported) in &session.agents {
                let report = session.report(agent, reported, now, self.lease_duration);
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

    /// How many agents are known.
    pub(crate) fn agent_count(&self) -> usize {
        let sessions = self.lock();
        let agents = sessions
            .open
            .values()
            .flat_map(|session| session.agents.keys());
        agents.collect::<BTreeSet<_>>().len()
    }

    /// Every connected relay.
    pub(crate) fn relays(&self) -> Vec<RelayReport> {
        let sessions = self.lock();
        let connected = sessions
            .open
            .values()
            .filter(|each| each.ended_at.is_none());
        connected
            .map(|session| RelayReport {
                relay: session.relay.clone(),
                address: session.address,
                agents: session.agents.len(),
            })
            .collect()
    }

    /// The zone of an agent behind one connection.
    pub(crate) fn zone(&self, id: SessionId, agent: &AgentId) -> Option<ZoneName> {
        let sessions = self.lock();
        let reported = sessions.open.get(&id)?.agents.get(agent)?;
        Some(reported.status.placement.zone.clone())
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sessions {
    fn forget_ended(&mut self, now: Instant, lease_duration: Duration) {
        self.open.retain(|_, session| {
            let ended = session.ended_at;
            ended.is_none_or(|ended_at| now.duration_since(ended_at) < lease_duration)
        });
    }
}

impl Session {
    /// A reported holder stays one while the connection lives, since the relay reports when a lease
    /// runs out; after the connection has ended, until the lease's duration is over.
    fn report(
        &self,
        agent: &AgentId,
        reported: &Reported,
        now: Instant,
        lease_duration: Duration,
    ) -> AgentReport {
        let age_at_report = Duration::from_millis(reported.status.lease_age_ms);
        let held_at_report = age_at_report < lease_duration;
        let is_recent = self
            .ended_at
            .is_none_or(|ended_at| now.duration_since(ended_at) < lease_duration);
        let unseen = match self.ended_at {
            Some(ended_at) => now.duration_since(ended_at),
            None if held_at_report => Duration::ZERO,
            None => now.duration_since(reported.at),
        };
        AgentReport {
            agent: agent.clone(),
            configuration_version: reported.status.configuration_version,
            placement: reported.status.placement.clone(),
            interest: reported.status.interest.clone(),
            lease_age: age_at_report + unseen,
            may_hold_lease: held_at_report && is_recent,
        }
    }
}

impl AgentReport {
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
