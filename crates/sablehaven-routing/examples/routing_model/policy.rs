//! The routing policies of an agent: the routing crate or a simple baseline.

use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_routing::{
    Admission, AgentLocation, AttemptResult, ExtraAttemptKind, ServiceRouter, ServiceUpdate,
};
use sablehaven_types::{AgentId, BackendId, BackendState, ShardId};

use crate::scenario::Scenario;
use crate::shared_bucket::{LocalBucket, SharedBucket};

/// The policy of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The routing crate.
    Router,
    /// The routing crate without hedges.
    RouterWithoutHedges,
    /// The routing crate without admission control: no query is refused.
    RouterWithoutAdmission,
    /// The routing crate with one token bucket shared by all agents.
    RouterWithSharedBudget,
    /// The routing crate without a budget: every hedge and retry is allowed.
    RouterWithoutBudget,
    /// A random replica, no hedges, no retries.
    Baseline,
    /// A random replica, no hedges, up to two retries without a budget.
    BaselineWithRetries,
}

/// The routing policy of one agent. Servers are identified by their index.
pub trait Policy {
    /// Admits a query, or returns the delay after which the caller may retry.
    fn admit(&mut self, now: Duration, sub_requests: u32) -> Result<(), Duration>;
    /// Chooses a server for an attempt, other than those in `tried`.
    fn choose(&mut self, now: Duration, shard: usize, tried: &[usize]) -> Option<usize>;
    /// Returns the delay after which to send a hedge, if any.
    fn hedge_after(&self, now: Duration, shard: usize, server: usize) -> Option<Duration>;
    /// Takes an extra attempt from the budget; `false` means that it is not allowed.
    fn take_extra(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool;
    /// Records that an attempt was sent.
    fn sent(&mut self, now: Duration, server: usize);
    /// Records the result of an attempt.
    fn finished(&mut self, now: Duration, server: usize, result: AttemptResult);
    /// Passes the current states of the servers to the agent.
    fn publish(&mut self, now: Duration, scenario: &Scenario, states: &[Option<BackendState>]);
}

/// Creates the policy of one agent.
pub fn new_policy(
    kind: PolicyKind,
    scenario: &Scenario,
    agent: usize,
    seed: u64,
    shared_bucket: &SharedBucket,
) -> Box<dyn Policy> {
    let seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ agent as u64;
    match kind {
        PolicyKind::Baseline => Box::new(Baseline::new(scenario, seed, false)),
        PolicyKind::BaselineWithRetries => Box::new(Baseline::new(scenario, seed, true)),
        _ => Box::new(RouterPolicy::new(
            kind,
            scenario,
            agent,
            seed,
            shared_bucket,
        )),
    }
}

/// Uses the routing crate.
struct RouterPolicy {
    kind: PolicyKind,
    router: ServiceRouter,
    ids: Vec<BackendId>,
    index_by_id: std::collections::HashMap<BackendId, usize>,
    local_bucket: LocalBucket,
}

impl RouterPolicy {
    fn new(
        kind: PolicyKind,
        scenario: &Scenario,
        agent: usize,
        seed: u64,
        shared_bucket: &SharedBucket,
    ) -> Self {
        let topology = &scenario.topology;
        let location = AgentLocation {
            agent: AgentId(format!("agent-{seed:x}")),
            placement: topology.placement(topology.zone_of_agent(agent)),
        };
        let ids: Vec<_> = (0..topology.servers())
            .map(|server| topology.backend_id(server))
            .collect();
        let index_by_id = ids.iter().cloned().zip(0..).collect();
        Self {
            kind,
            router: ServiceRouter::new(location, &scenario.settings, seed),
            ids,
            index_by_id,
            local_bucket: LocalBucket::new(shared_bucket.clone(), agent),
        }
    }

    fn ids_of(&self, servers: &[usize]) -> Vec<BackendId> {
        servers
            .iter()
            .map(|&server| self.ids[server].clone())
            .collect()
    }
}

impl Policy for RouterPolicy {
    fn admit(&mut self, now: Duration, sub_requests: u32) -> Result<(), Duration> {
        if self.kind == PolicyKind::RouterWithSharedBudget {
            self.local_bucket.record_needed(now, sub_requests);
        }
        match self.router.admit(now, sub_requests) {
            Admission::Admitted => Ok(()),
            Admission::Refused { .. } if self.kind == PolicyKind::RouterWithoutAdmission => Ok(()),
            Admission::Refused { retry_after } => Err(retry_after),
        }
    }

    fn choose(&mut self, now: Duration, shard: usize, tried: &[usize]) -> Option<usize> {
        let tried = self.ids_of(tried);
        let chosen = self.router.choose(now, ShardId(shard as u32), &tried)?;
        Some(self.index_by_id[&chosen.backend])
    }

    fn hedge_after(&self, now: Duration, shard: usize, server: usize) -> Option<Duration> {
        if self.kind == PolicyKind::RouterWithoutHedges {
            return None;
        }
        let shard = ShardId(shard as u32);
        self.router.hedge_after(now, shard, &self.ids[server])
    }

    fn take_extra(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool {
        match self.kind {
            PolicyKind::RouterWithoutBudget => true,
            PolicyKind::RouterWithSharedBudget => self.local_bucket.take(now),
            _ => self.router.take_extra(now, kind),
        }
    }

    fn sent(&mut self, now: Duration, server: usize) {
        self.router.sent(now, &self.ids[server]);
    }

    fn finished(&mut self, now: Duration, server: usize, result: AttemptResult) {
        self.router.finished(now, &self.ids[server], result);
    }

    fn publish(&mut self, now: Duration, scenario: &Scenario, states: &[Option<BackendState>]) {
        let topology = &scenario.topology;
        let records: Vec<_> = (0..topology.servers())
            .filter_map(|server| Some(topology.record(server, states[server]?)))
            .collect();
        let update = ServiceUpdate {
            settings: &scenario.settings,
            backends: &records,
            snapshot: &topology.snapshot(),
            agents: topology.agents() as u32,
        };
        self.router.update(now, update);
    }
}

/// Chooses a random live replica and never hedges.
struct Baseline {
    random: Pcg64Mcg,
    replicas: Vec<std::ops::Range<usize>>,
    live: Vec<bool>,
    retries: bool,
}

impl Baseline {
    fn new(scenario: &Scenario, seed: u64, retries: bool) -> Self {
        let topology = &scenario.topology;
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            replicas: (0..topology.shards)
                .map(|shard| topology.servers_of(shard))
                .collect(),
            live: vec![true; topology.servers()],
            retries,
        }
    }
}

impl Policy for Baseline {
    fn admit(&mut self, _now: Duration, _sub_requests: u32) -> Result<(), Duration> {
        Ok(())
    }

    fn choose(&mut self, _now: Duration, shard: usize, tried: &[usize]) -> Option<usize> {
        self.replicas[shard]
            .clone()
            .filter(|&server| self.live[server] && !tried.contains(&server))
            .choose(&mut self.random)
    }

    fn hedge_after(&self, _now: Duration, _shard: usize, _server: usize) -> Option<Duration> {
        None
    }

    fn take_extra(&mut self, _now: Duration, _kind: ExtraAttemptKind) -> bool {
        self.retries
    }

    fn sent(&mut self, _now: Duration, _server: usize) {}

    fn finished(&mut self, _now: Duration, _server: usize, _result: AttemptResult) {}

    fn publish(&mut self, _now: Duration, _scenario: &Scenario, states: &[Option<BackendState>]) {
        for (live, state) in self.live.iter_mut().zip(states) {
            *live = *state == Some(BackendState::Live);
        }
    }
}

/// Draws the time to the next arrival of a Poisson process, or returns `None` if the rate is zero.
/// Random gaps keep the agents from starting together.
pub fn time_to_next_arrival(random: &mut Pcg64Mcg, per_second: f64) -> Option<Duration> {
    if per_second <= 0.0 {
        return None;
    }
    let uniform: f64 = 1.0 - random.random::<f64>();
    Some(Duration::from_secs_f64(-uniform.ln() / per_second))
}
