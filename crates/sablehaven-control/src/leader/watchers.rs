//! Proposes how many agents watch each service, rounded so that the counts change rarely.

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

/// Time for which a count must stay lower before it is proposed: agents that restart or change their relay must not
/// enlarge all subsets temporarily.
const DECREASE_DELAY: Duration = Duration::from_secs(10);

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
        // If the proposal fails, the next leader counts again.
        if context.driver.propose(command).await.is_err() {
            context.metrics.error("propose_watchers");
        }
    }
}

/// Counts the interested agents and their zones for each service; the number of agents is rounded up to a power of two.
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

/// Lets counts increase immediately and decrease only after [`DECREASE_DELAY`].
#[derive(Default)]
struct Damping {
    /// Since when the count of each service has been below the known one.
    decreased_since: BTreeMap<ServiceName, Instant>,
}

impl Damping {
    /// Returns the counts to propose: those of `counted`, except that decreases wait.
    fn apply(&mut self, known: &Counts, counted: Counts, now: Instant) -> Counts {
        let mut result = counted;
        let mut decreased_since = BTreeMap::new();
        for (service, before) in known {
            let counted = result.get(service).copied().unwrap_or_default();
            if counted.agents >= before.agents {
                continue;
            }
            let since = self.decreased_since.get(service).copied().unwrap_or(now);
            if now.duration_since(since) >= DECREASE_DELAY {
                continue;
            }
            decreased_since.insert(service.clone(), since);
            result.insert(service.clone(), *before);
        }
        self.decreased_since = decreased_since;
        result
    }
}
