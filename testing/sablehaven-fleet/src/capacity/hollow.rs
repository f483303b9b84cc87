//! Hollow agents: real subscriptions, many in one process.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_subscription::{AgentIdentity, Config, Subscription};
use sablehaven_types::{AgentId, Placement};

use crate::world::FleetError;

/// Time that agents may take to see a version. Generous, since it only guards against a hang.
const LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at all agents.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Agents started together are spread by this pause, so that they do not all renew at once.
const START_SPACING: Duration = Duration::from_millis(1);

/// Subscriptions to one relay.
pub(super) struct HollowAgents {
    relay: SocketAddr,
    deployment: String,
    placement: Placement,
    agents: Vec<Subscription>,
}

impl HollowAgents {
    pub(super) fn new(relay: SocketAddr, deployment: &str, placement: &Placement) -> Self {
        Self {
            relay,
            deployment: deployment.to_owned(),
            placement: placement.clone(),
            agents: Vec::new(),
        }
    }

    /// Starts agents until there are this many.
    pub(super) async fn grow_to(&mut self, count: u32) {
        while self.agents.len() < count as usize {
            let config = Config {
                relays: vec![self.relay],
                deployment: self.deployment.clone(),
                ..Config::default()
            };
            let identity = AgentIdentity {
                agent: AgentId(format!("hollow-{}", self.agents.len())),
                placement: self.placement.clone(),
                interest: BTreeSet::new(),
            };
            self.agents.push(Subscription::start(config, identity));
            tokio::time::sleep(START_SPACING).await;
        }
    }

    /// Waits until every agent holds a lease on this version or a newer one; gives the time it took.
    pub(super) async fn wait_for(&self, version: u64) -> Result<Duration, FleetError> {
        let start = Instant::now();
        let mut first_behind = 0;
        loop {
            // Agents never go back, so those before the first one behind need no second look.
            while let Some(agent) = self.agents.get(first_behind)
                && has(agent, version)
            {
                first_behind += 1;
            }
            if first_behind == self.agents.len() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > LIMIT {
                let reason = format!("hollow agent {first_behind} never saw version {version}");
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

fn has(agent: &Subscription, version: u64) -> bool {
    let age = agent.lease();
    age.current && age.version >= version
}
