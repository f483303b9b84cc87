//! The discrete-event simulation of agents, the network and servers.

#[path = "query_flow.rs"]
mod query_flow;
#[path = "server_events.rs"]
mod server_events;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_routing::{AttemptOutcome, LoadReport};
use sablehaven_types::BackendState;

use crate::arena::{Arena, Key};
use crate::metrics::Measurements;
use crate::policy::{Policy, PolicyKind, new_policy, time_to_next_arrival};
use crate::scenario::{Change, Scenario};
use crate::scheduler::Scheduler;
use crate::server::Server;
use crate::shared_bucket::SharedBucket;

/// Maximum number of attempts per sub-request.
const MAX_ATTEMPTS: usize = 3;
/// Maximum delay until an agent receives a published change.
const MAX_PUBLISH_DELAY: Duration = Duration::from_millis(500);

/// An attempt in transit or at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    query: Key,
    shard: usize,
    server: usize,
    sent_at: Duration,
    measured: bool,
}

/// The part of a query for one shard.
#[derive(Clone, Debug, Default)]
struct SubRequest {
    done: bool,
    hedged: bool,
    tried: Vec<usize>,
    outstanding: Vec<Key>,
}

/// A query that has not ended.
#[derive(Debug)]
struct Query {
    agent: usize,
    started_at: Duration,
    deadline: Duration,
    sub_requests: Vec<SubRequest>,
    open_sub_requests: usize,
    missing_shards: usize,
}

/// The reply of a server, which may be a refusal.
#[derive(Clone, Copy, Debug)]
struct Reply {
    outcome: AttemptOutcome,
    load: LoadReport,
}

/// An event of the simulation.
enum Event {
    QueryArrives { agent: usize, epoch: u32 },
    CallerRetries { agent: usize, retries_left: u32 },
    AttemptArrives(Key),
    CancelArrives { server: usize, attempt: Key },
    ServiceEnds { server: usize, attempt: Key },
    ReplyArrives { attempt: Key, reply: Reply },
    HedgeDue { query: Key, shard: usize },
    DeadlinePasses(Key),
    Change(usize),
    ReceiveStates(usize),
}

/// The state of one run.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler<Event>,
    random: Pcg64Mcg,
    servers: Vec<Server>,
    policies: Vec<Box<dyn Policy>>,
    states: Vec<Option<BackendState>>,
    query_rates: Vec<f64>,
    load_epoch: u32,
    queries: Arena<Query>,
    attempts: Arena<Attempt>,
    used_by_agent: Vec<Vec<bool>>,
    measurements: Measurements,
    shared_bucket: SharedBucket,
}

/// Runs a scenario and returns its measurements.
pub fn run(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Measurements {
    let mut simulation = Simulation::new(scenario, kind, seed);
    simulation.run();
    simulation.into_measurements()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, kind: PolicyKind, seed: u64) -> Self {
        let topology = &scenario.topology;
        let extra_load_share = f64::from(scenario.settings.extra_load_per_mille) / 1000.0;
        let shared_bucket = SharedBucket::new(extra_load_share);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let servers = (0..topology.servers())
            .map(|_| Server::new(random.random::<f64>() < scenario.servers.misleading_share))
            .collect();
        let policies = (0..topology.agents())
            .map(|agent| new_policy(kind, scenario, agent, seed, &shared_bucket))
            .collect();
        let mut states = vec![Some(BackendState::Live); topology.servers()];
        for &server in &scenario.absent {
            states[server] = None;
        }
        Self {
            scenario,
            scheduler: Scheduler::default(),
            random,
            servers,
            policies,
            states,
            query_rates: vec![0.0; topology.regions],
            load_epoch: 0,
            queries: Arena::default(),
            attempts: Arena::default(),
            used_by_agent: vec![vec![false; topology.agents()]; topology.servers()],
            measurements: Measurements::new(),
            shared_bucket,
        }
    }

    fn run(&mut self) {
        for agent in 0..self.policies.len() {
            self.policies[agent].publish(Duration::ZERO, self.scenario, &self.states);
        }
        for (index, (at, _)) in self.scenario.changes.iter().enumerate() {
            self.scheduler.at(*at, Event::Change(index));
        }
        while let Some(event) = self.scheduler.next_before(self.scenario.end) {
            self.handle(event);
        }
    }

    fn into_measurements(mut self) -> Measurements {
        self.measurements.messages = self.shared_bucket.messages();
        self.measurements.max_agents_per_server = self
            .used_by_agent
            .iter()
            .map(|agents| agents.iter().filter(|&&used| used).count())
            .max()
            .unwrap_or(0);
        self.measurements
    }

    fn now(&self) -> Duration {
        self.scheduler.now()
    }

    fn is_measured(&self) -> bool {
        self.now() >= self.scenario.warm_up
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::QueryArrives { agent, epoch } => self.query_arrives(agent, epoch),
            Event::CallerRetries {
                agent,
                retries_left,
            } => self.start_query(agent, retries_left),
            Event::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            Event::CancelArrives { server, attempt } => self.cancel_arrives(server, attempt),
            Event::ServiceEnds { server, attempt } => self.service_ends(server, attempt),
            Event::ReplyArrives { attempt, reply } => self.reply_arrives(attempt, reply),
            Event::HedgeDue { query, shard } => self.hedge_due(query, shard),
            Event::DeadlinePasses(query) => self.deadline_passes(query),
            Event::Change(index) => self.apply_change(index),
            Event::ReceiveStates(agent) => {
                let now = self.now();
                self.policies[agent].publish(now, self.scenario, &self.states);
            }
        }
    }

    fn apply_change(&mut self, index: usize) {
        match &self.scenario.changes[index].1 {
            Change::Behaviour(servers, behaviour) => {
                for &server in servers {
                    self.servers[server].set_behaviour(*behaviour);
                }
            }
            Change::PublishedState(servers, state) => {
                for &server in servers {
                    self.states[server] = Some(*state);
                }
                self.schedule_state_updates();
            }
            Change::Load(rates) => {
                self.query_rates.clone_from(rates);
                self.load_epoch += 1;
                for agent in 0..self.policies.len() {
                    self.schedule_arrival(agent);
                }
            }
        }
    }

    fn schedule_state_updates(&mut self) {
        for agent in 0..self.policies.len() {
            let delay = MAX_PUBLISH_DELAY.mul_f64(self.random.random());
            self.scheduler.after(delay, Event::ReceiveStates(agent));
        }
    }

    fn region_of_agent(&self, agent: usize) -> usize {
        let topology = &self.scenario.topology;
        topology.region_of_zone(topology.zone_of_agent(agent))
    }

    fn schedule_arrival(&mut self, agent: usize) {
        let topology = &self.scenario.topology;
        let agents_per_region = topology.agents() / topology.regions;
        let rate = self.query_rates[self.region_of_agent(agent)] / agents_per_region as f64;
        if let Some(gap) = time_to_next_arrival(&mut self.random, rate) {
            let epoch = self.load_epoch;
            self.scheduler
                .after(gap, Event::QueryArrives { agent, epoch });
        }
    }

    fn query_arrives(&mut self, agent: usize, epoch: u32) {
        if epoch != self.load_epoch {
            return;
        }
        self.schedule_arrival(agent);
        let region = self.region_of_agent(agent);
        let (now, regions) = (self.now(), self.scenario.topology.regions);
        self.measurements.second(now, regions).queries[region] += 1;
        self.start_query(agent, self.scenario.caller_retries);
    }

    fn latency(&self, agent: usize, server: usize) -> Duration {
        let topology = &self.scenario.topology;
        topology.latency(
            topology.zone_of_agent(agent),
            topology.zone_of_server(server),
        )
    }
}
