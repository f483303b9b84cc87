//! Hollow agents: real subscriptions, many in one process.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use sablehaven_subscription::{AgentIdentity, Config, Subscription};
use sablehaven_types::{AgentId, Placement};

use crate::world::FleetError;

/// Time that agents may take to see something. Generous, since it only guards against a hang.
const LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at all agents.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Agents started together are spread by this pause, so that they do not all renew at once.
const START_SPACING: Duration = Duration::from_millis(1);

/// Subscriptions to the same relays.
pub(super) struct HollowAgents {
    relays: Vec<SocketAddr>,
    connect_from: Option<IpAddr>,
    deployment: String,
    placement: Placement,
    agents: Vec<Subscription>,
}

impl HollowAgents {
    pub(super) fn new(
        relays: Vec<SocketAddr>,
        connect_from: Option<IpAddr>,
        deployment: &str,
        placement: &Placement,
    ) -> Self {
        Self {
            relays,
            connect_from,
            deployment: deployment.to_owned(),
            placement: placement.clone(),
            agents: Vec::new(),
        }
    }

    pub(super) fn agents(&self) -> &[Subscription] {
        &self.agents
    }

    /// Starts agents until there are this many, one after the other.
    pub(super) async fn grow_to(&mut self, count: u32) {
        while self.agents.len() < count as usize {
            self.start_one();
            tokio::time::sleep(START_SPACING).await;
        }
    }

    /// Starts agents until there are this many, all at once.
    pub(super) fn burst_to(&mut self, count: u32) {
        while self.agents.len() < count as usize {
            self.start_one();
        }
    }

    fn start_one(&mut self) {
        let config = Config {
            relays: self.relays.clone(),
            deployment: self.deployment.clone(),
            connect_from: self.connect_from,
            ..Config::default()
        };
        let identity = AgentIdentity {
            agent: AgentId(format!("hollow-{}-{}", self.relays[0], self.agents.len())),
            placement: self.placement.clone(),
            interest: BTreeSet::new(),
        };
        self.agents.push(Subscription::start(config, identity));
    }

    /// Waits until every agent holds a lease on this version or a newer one; gives the time it took.
    pub(super) async fn wait_for(&self, version: u64) -> Result<Duration, FleetError> {
        self.wait_until(&format!("a lease on version {version}"), |agent| {
            let age = agent.lease();
            age.current && age.version >= version
        })
        .await
    }

    /// Waits until every agent has this revision or a newer one; gives the time it took.
    pub(super) async fn wait_for_revision(&self, revision: u64) -> Result<Duration, FleetError> {
        self.wait_until(&format!("revision {revision}"), |agent| {
            agent.view().revision >= revision
        })
        .await
    }

    /// Waits until something that stays true is true of every agent.
    async fn wait_until(
        &self,
        what: &str,
        holds: impl Fn(&Subscription) -> bool,
    ) -> Result<Duration, FleetError> {
        let start = Instant::now();
        let mut first_without = 0;
        loop {
            // Agents never go back, so those before the first one without need no second look.
            while self.agents.get(first_without).is_some_and(&holds) {
                first_without += 1;
            }
            if first_without == self.agents.len() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > LIMIT {
                let reason = format!("hollow agent {first_without} never saw {what}");
                return Err(FleetError::step("wait for agents", reason));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Bytes that all agents sent and received.
    pub(super) fn bytes(&self) -> u64 {
        let bytes = self.agents.iter().map(|agent| {
            let metrics = agent.metrics();
            metrics.received_bytes.get() + metrics.sent_bytes.get()
        });
        bytes.sum()
    }

    pub(super) async fn stop(self) {
        futures::future::join_all(self.agents.into_iter().map(Subscription::stop)).await;
    }
}
