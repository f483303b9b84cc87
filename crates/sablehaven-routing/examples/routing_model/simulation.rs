//! The discrete-event simulation of agents, the network and servers.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_routing::{AttemptOutcome, AttemptResult, ExtraKind, LoadReport};
use sablehaven_types::BackendState;

use crate::arena::{Arena, Key};
use crate::metrics::Measurements;
use crate::policy::{Policy, PolicyKind, arrival_gap, make};
use crate::scenario::{Change, Scenario};
use crate::scheduler::Scheduler;
use crate::server::{Arrival, Next, Server, Work};
use crate::shared_bucket::SharedBucket;

/// Most attempts of one sub-request.
const MAX_ATTEMPTS: usize = 3;
/// Time that an agent takes to learn of a published change, at most.
const PUBLISH_SPREAD: Duration = Duration::from_millis(500);

/// One attempt on its way or at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    query: Key,
    shard: usize,
    server: usize,
    sent_at: Duration,
    measured: bool,
}

/// One shard's part of a query.
#[derive(Clone, Debug, Default)]
struct SubRequest {
    done: bool,
    hedged: bool,
    tried: Vec<usize>,
    outstanding: Vec<Key>,
}

/// One query.
#[derive(Debug)]
struct Query {
    agent: usize,
    started_at: Duration,
    deadline: Duration,
    sub_requests: Vec<SubRequest>,
    open: usize,
    missing: usize,
}

/// How a server refused or answered.
#[derive(Clone, Copy, Debug)]
struct Reply {
    outcome: AttemptOutcome,
    load: LoadReport,
}

enum Event {
    QueryArrives { agent: usize, epoch: u32 },
    CallerReturns { agent: usize, returns_left: u32 },
    AttemptArrives(Key),
    CancelArrives { server: usize, attempt: Key },
    ServiceEnds { server: usize, attempt: Key },
    ReplyArrives { attempt: Key, reply: Reply },
    HedgeDue { query: Key, shard: usize },
    DeadlinePasses(Key),
    Change(usize),
    Learn(usize),
}

/// One run.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler<Event>,
    random: Pcg64Mcg,
    servers: Vec<Server>,
    policies: Vec<Box<dyn Policy>>,
    states: Vec<Option<BackendState>>,
    rates: Vec<f64>,
    load_epoch: u32,
    queries: Arena<Query>,
    attempts: Arena<Attempt>,
    used: Vec<Vec<bool>>,
    measurements: Measurements,
    shared: SharedBucket,
}

/// Runs a scenario.
pub fn run(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Measurements {
    let mut simulation = Simulation::new(scenario, kind, seed);
    simulation.run();
    simulation.into_measurements()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, kind: PolicyKind, seed: u64) -> Self {
        let topology = &scenario.topology;
        let share = f64::from(scenario.settings.extra_load_per_mille) / 1000.0;
        let shared = SharedBucket::new(share);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let servers = (0..topology.servers())
            .map(|_| Server::new(random.random::<f64>() < scenario.servers.misleading_share))
            .collect();
        let policies = (0..topology.agents())
            .map(|agent| make(kind, scenario, agent, seed, &shared))
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
            rates: vec![0.0; topology.regions],
            load_epoch: 0,
            queries: Arena::default(),
            attempts: Arena::default(),
            used: vec![vec![false; topology.agents()]; topology.servers()],
            measurements: Measurements::new(),
            shared,
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
        self.measurements.messages = self.shared.messages();
        self.measurements.max_agents_per_server = self
            .used
            .iter()
            .map(|agents| agents.iter().filter(|&&used| used).count())
            .max()
            .unwrap_or(0);
        self.measurements
    }

    fn now(&self) -> Duration {
        self.scheduler.now()
    }

    fn measured(&self) -> bool {
        self.now() >= self.scenario.warm_up
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::QueryArrives { agent, epoch } => self.query_arrives(agent, epoch),
            Event::CallerReturns {
                agent,
                returns_left,
            } => self.start_query(agent, returns_left),
            Event::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            Event::CancelArrives { server, attempt } => self.cancel_arrives(server, attempt),
            Event::ServiceEnds { server, attempt } => self.service_ends(server, attempt),
            Event::ReplyArrives { attempt, reply } => self.reply_arrives(attempt, reply),
            Event::HedgeDue { query, shard } => self.hedge_due(query, shard),
            Event::DeadlinePasses(query) => self.deadline_passes(query),
            Event::Change(index) => self.change(index),
            Event::Learn(agent) => {
                let now = self.now();
                self.policies[agent].publish(now, self.scenario, &self.states);
            }
        }
    }

    fn change(&mut self, index: usize) {
        match &self.scenario.changes[index].1 {
            Change::Behave(servers, behaviour) => {
                for &server in servers {
                    self.servers[server].behave(*behaviour);
                }
            }
            Change::Publish(servers, state) => {
                for &server in servers {
                    self.states[server] = Some(*state);
                }
                self.spread_publication();
            }
            Change::Load(rates) => {
                self.rates.clone_from(rates);
                self.load_epoch += 1;
                for agent in 0..self.policies.len() {
                    self.schedule_arrival(agent);
                }
            }
        }
    }

    fn spread_publication(&mut self) {
        for agent in 0..self.policies.len() {
            let delay = PUBLISH_SPREAD.mul_f64(self.random.random());
            self.scheduler.after(delay, Event::Learn(agent));
        }
    }

    fn region_of_agent(&self, agent: usize) -> usize {
        let topology = &self.scenario.topology;
        topology.region_of_zone(topology.zone_of_agent(agent))
    }

    fn schedule_arrival(&mut self, agent: usize) {
        let topology = &self.scenario.topology;
        let agents_per_region = topology.agents() / topology.regions;
        let rate = self.rates[self.region_of_agent(agent)] / agents_per_region as f64;
        if let Some(gap) = arrival_gap(&mut self.random, rate) {
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
        self.start_query(agent, self.scenario.come_backs);
    }

    fn start_query(&mut self, agent: usize, returns_left: u32) {
        let (now, shards) = (self.now(), self.scenario.topology.shards);
        if let Err(retry_after) = self.policies[agent].admit(now, shards as u32) {
            self.refuse(agent, returns_left, retry_after);
            return;
        }
        if self.measured() {
            self.measurements.counts.needed += shards as u64;
        }
        let regions = self.scenario.topology.regions;
        self.measurements.second(now, regions).needed += shards as u64;
        let query = self.queries.insert(Query {
            agent,
            started_at: now,
            deadline: now + self.scenario.deadline,
            sub_requests: vec![SubRequest::default(); shards],
            open: shards,
            missing: 0,
        });
        self.scheduler
            .after(self.scenario.deadline, Event::DeadlinePasses(query));
        for shard in 0..shards {
            match self.policies[agent].choose(now, shard, &[]) {
                Some(server) => self.send_first(query, shard, server),
                None => self.close(query, shard, false),
            }
        }
    }

    fn refuse(&mut self, agent: usize, returns_left: u32, retry_after: Duration) {
        if returns_left > 0 {
            let event = Event::CallerReturns {
                agent,
                returns_left: returns_left - 1,
            };
            self.scheduler.after(retry_after, event);
            return;
        }
        if self.measured() {
            self.measurements.counts.refused += 1;
        }
    }

    fn send_first(&mut self, query: Key, shard: usize, server: usize) {
        self.send(query, shard, server);
        let Some(agent) = self.queries.get(query).map(|query| query.agent) else {
            return;
        };
        let hedge = self.policies[agent].hedge_after(self.now(), shard, server);
        if let Some(delay) = hedge {
            self.scheduler
                .after(delay, Event::HedgeDue { query, shard });
        }
    }

    fn send(&mut self, query_key: Key, shard: usize, server: usize) {
        let (now, measured) = (self.now(), self.measured());
        let attempt = self.attempts.insert(Attempt {
            query: query_key,
            shard,
            server,
            sent_at: now,
            measured,
        });
        let Some(query) = self.queries.get_mut(query_key) else {
            return;
        };
        let agent = query.agent;
        query.sub_requests[shard].tried.push(server);
        query.sub_requests[shard].outstanding.push(attempt);
        self.used[server][agent] = true;
        self.policies[agent].sent(now, server);
        let delay = self.latency(agent, server);
        self.scheduler.after(delay, Event::AttemptArrives(attempt));
    }

    fn latency(&self, agent: usize, server: usize) -> Duration {
        let topology = &self.scenario.topology;
        topology.latency(
            topology.zone_of_agent(agent),
            topology.zone_of_server(server),
        )
    }

    fn attempt_arrives(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key).copied() else {
            return;
        };
        let Some(deadline) = self.queries.get(attempt.query).map(|query| query.deadline) else {
            return;
        };
        let work = Work {
            attempt: key,
            deadline,
        };
        let model = &self.scenario.servers;
        match self.servers[attempt.server].arrive(model, work, &mut self.random) {
            Arrival::Runs(time) => self.run_at(attempt.server, key, time),
            Arrival::Waits => {}
            Arrival::Shed => self.reply(key, AttemptOutcome::Shed),
        }
    }

    fn run_at(&mut self, server: usize, attempt: Key, time: Duration) {
        self.scheduler
            .after(time, Event::ServiceEnds { server, attempt });
    }

    fn service_ends(&mut self, server: usize, attempt: Key) {
        if !self.servers[server].leave(attempt) {
            return;
        }
        let topology = &self.scenario.topology;
        let region = topology.region_of_zone(topology.zone_of_server(server));
        let (now, regions) = (self.now(), topology.regions);
        self.measurements.second(now, regions).served[region] += 1;
        self.reply(attempt, AttemptOutcome::Replied);
        self.start_waiting(server);
    }

    fn cancel_arrives(&mut self, server: usize, attempt: Key) {
        if self.servers[server].leave(attempt) {
            self.start_waiting(server);
        }
    }

    fn start_waiting(&mut self, server: usize) {
        let now = self.now();
        let model = &self.scenario.servers;
        loop {
            match self.servers[server].next(now, model, &mut self.random) {
                Next::Runs(attempt, time) => {
                    self.run_at(server, attempt, time);
                    return;
                }
                Next::Late(attempt) => self.reply(attempt, AttemptOutcome::DeadlineRefused),
                Next::Idle => return,
            }
        }
    }

    fn reply(&mut self, key: Key, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(key).copied() else {
            return;
        };
        let Some(agent) = self.queries.get(attempt.query).map(|query| query.agent) else {
            return;
        };
        let now = self.now();
        let load = self.servers[attempt.server].report(now, &self.scenario.servers);
        let delay = self.latency(agent, attempt.server);
        let reply = Reply { outcome, load };
        self.scheduler.after(
            delay,
            Event::ReplyArrives {
                attempt: key,
                reply,
            },
        );
    }

    fn reply_arrives(&mut self, key: Key, reply: Reply) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let now = self.now();
        let Some(query) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let agent = query.agent;
        let sub_request = &mut query.sub_requests[attempt.shard];
        sub_request.outstanding.retain(|&other| other != key);
        let alone = sub_request.outstanding.is_empty();
        let result = AttemptResult {
            outcome: reply.outcome,
            latency: now - attempt.sent_at,
            load: Some(reply.load),
            incarnation: Some(1),
        };
        self.policies[agent].finished(now, attempt.server, result);
        if attempt.measured && reply.outcome == AttemptOutcome::Shed {
            self.measurements.counts.sheds += 1;
        }
        if reply.outcome == AttemptOutcome::Replied {
            self.close(attempt.query, attempt.shard, true);
        } else if alone {
            self.retry(attempt.query, attempt.shard);
        }
    }

    fn retry(&mut self, key: Key, shard: usize) {
        if !self.send_extra(key, shard, ExtraKind::Retry) {
            self.close(key, shard, false);
        }
    }

    fn hedge_due(&mut self, key: Key, shard: usize) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let sub_request = &mut query.sub_requests[shard];
        if sub_request.done || sub_request.hedged || sub_request.outstanding.is_empty() {
            return;
        }
        sub_request.hedged = true;
        self.send_extra(key, shard, ExtraKind::Hedge);
    }

    fn send_extra(&mut self, key: Key, shard: usize, kind: ExtraKind) -> bool {
        let now = self.now();
        let Some(query) = self.queries.get(key) else {
            return false;
        };
        let agent = query.agent;
        let tried = &query.sub_requests[shard].tried;
        if tried.len() >= MAX_ATTEMPTS {
            return false;
        }
        let policy = &mut self.policies[agent];
        let Some(server) = policy.choose(now, shard, tried) else {
            return false;
        };
        if !policy.take_extra(now, kind) {
            return false;
        }
        self.count_extra(kind);
        self.send(key, shard, server);
        true
    }

    fn count_extra(&mut self, kind: ExtraKind) {
        let (now, regions) = (self.now(), self.scenario.topology.regions);
        self.measurements.second(now, regions).extra += 1;
        if !self.measured() {
            return;
        }
        match kind {
            ExtraKind::Hedge => self.measurements.counts.hedges += 1,
            ExtraKind::Retry => self.measurements.counts.retries += 1,
        }
    }

    /// Ends one shard's part of a query, and the query with the last one.
    fn close(&mut self, key: Key, shard: usize, answered: bool) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let agent = query.agent;
        let sub_request = &mut query.sub_requests[shard];
        if sub_request.done {
            return;
        }
        sub_request.done = true;
        query.open -= 1;
        query.missing += usize::from(!answered);
        let outstanding = std::mem::take(&mut sub_request.outstanding);
        let ended = query.open == 0;
        if answered && self.measured() {
            self.measurements.counts.answered += 1;
        }
        for attempt in outstanding {
            self.cancel(agent, attempt, AttemptOutcome::Cancelled);
        }
        if ended && let Some(query) = self.queries.remove(key) {
            self.end_query(&query);
        }
    }

    fn cancel(&mut self, agent: usize, key: Key, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let now = self.now();
        let result = AttemptResult {
            outcome,
            latency: now - attempt.sent_at,
            load: None,
            incarnation: None,
        };
        self.policies[agent].finished(now, attempt.server, result);
        let delay = self.latency(agent, attempt.server);
        let server = attempt.server;
        self.scheduler.after(
            delay,
            Event::CancelArrives {
                server,
                attempt: key,
            },
        );
    }

    fn deadline_passes(&mut self, key: Key) {
        let Some(mut query) = self.queries.remove(key) else {
            return;
        };
        for sub_request in &mut query.sub_requests {
            if sub_request.done {
                continue;
            }
            query.missing += 1;
            for attempt in std::mem::take(&mut sub_request.outstanding) {
                self.cancel(query.agent, attempt, AttemptOutcome::Failed);
            }
        }
        self.end_query(&query);
    }

    fn end_query(&mut self, query: &Query) {
        let now = self.now();
        let complete = query.missing == 0;
        let region = self.region_of_agent(query.agent);
        let regions = self.scenario.topology.regions;
        self.measurements.second(now, regions).complete[region] += u64::from(complete);
        if query.started_at < self.scenario.warm_up {
            return;
        }
        let counts = &mut self.measurements.counts;
        counts.complete += u64::from(complete);
        counts.partial += u64::from(!complete);
        let latency = if complete {
            now - query.started_at
        } else {
            self.scenario.deadline
        };
        self.measurements
            .latency
            .saturating_record(latency.as_micros() as u64);
    }
}
