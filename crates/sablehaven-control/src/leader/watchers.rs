//! How many agents watch each service, rounded so that it changes seldom.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{ServiceName, ZoneName};
use tokio::time::interval;

use crate::{
    driver::read, membership::ServiceWatchers, relays::AgentReport, server::Context,
    shared::SharedCommand,
};

/// Time between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a lower count must last before it is believed: agents that restart or change
/// their relay must not make all subsets larger for a moment.
const LOWERING_DELAY: Duration = Duration::from_secs(10);

type Counts = BTreeMap<ServiceName, ServiceWatchers>;

/// Proposes changed counts while this replica leads, until it stops.
pub(crate) async fn propose_watchers(context: Arc<Context>) {
    let mut ticker = interval(COUNT_INTERVAL);
    let mut damping = Damping::default();
    loop {
        ticker.tick().await;
        if !context.is_leader() {
            damping = Damping::default();
            continue;
        }
        let agents = context.registry.agents();
        let (known, services) = read(&context.state, |state| {
            let configuration = state.configuration().current();
            let services: Vec<ServiceName> = configuration.services.keys().cloned().collect();
            (state.membership().watchers().clone(), services)
        });
        let counted = count(&agents, &services);
        let damped = damping.apply(&known, counted, Instant::now());
        if damped == known {
            continue;
        }
        let command = SharedCommand::Watchers(damped);
        // Without a leader the next one counts anew.
        if context.driver.propose(command).await.is_err() {
            context.metrics.error("propose_watchers");
        }
    }
}

/// Counts the agents and their zones of each service, agents rounded up to a power of two.
fn count(agents: &[AgentReport], services: &[ServiceName]) -> Counts {
    let mut counts = Counts::new();
    for service in services {
        let is_interested =
            |agent: &&AgentReport| agent.interest.is_empty() || agent.interest.contains(service);
        let interested: Vec<&AgentReport> = agents.iter().filter(is_interested).collect();
        if interested.is_empty() {
            continue;
        }
        let zones: BTreeSet<&ZoneName> = interested
            .iter()
            .map(|agent| &agent.placement.zone)
            .collect();
        let agents = u32::try_from(interested.len()).unwrap_or(u32::MAX / 2);
        let watchers = ServiceWatchers {
            agents: agents.next_power_of_two(),
            zones: u32::try_from(zones.len()).unwrap_or(u32::MAX),
        };
        counts.insert(service.clone(), watchers);
    }
    counts
}

/// Lets counts rise at once and fall only after a while.
#[derive(Default)]
struct Damping {
    lower_since: BTreeMap<ServiceName, Instant>,
}

impl Damping {
    fn apply(&mut self, known: &Counts, counted: Counts, now: Instant) -> Counts {
        let mut result = counted;
        let mut lower_since = BTreeMap::new();
        for (service, before) in known {
            let counted = result.get(service).copied().unwrap_or_default();
            if counted.agents >= before.agents {
                continue;
            }
            let since = self.lower_since.get(service).copied().unwrap_or(now);
            if now.duration_since(since) >= LOWERING_DELAY {
                continue;
            }
            lower_since.insert(service.clone(), since);
            result.insert(service.clone(), *before);
        }
        self.lower_since = lower_since;
        result
    }
}
