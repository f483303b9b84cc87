//! The servers' side of the simulation: requests arrive, run, end and are cancelled.

use std::time::Duration;

use sablehaven_routing::AttemptOutcome;

use super::{Event, Reply, Simulation};
use crate::arena::Key;
use crate::server::{Arrival, Next, Work};

impl Simulation<'_> {
    pub(super) fn attempt_arrives(&mut self, key: Key) {
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

    pub(super) fn run_at(&mut self, server: usize, attempt: Key, time: Duration) {
        self.scheduler
            .after(time, Event::ServiceEnds { server, attempt });
    }

    pub(super) fn service_ends(&mut self, server: usize, attempt: Key) {
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

    pub(super) fn cancel_arrives(&mut self, server: usize, attempt: Key) {
        if self.servers[server].leave(attempt) {
            self.start_waiting(server);
        }
    }

    pub(super) fn start_waiting(&mut self, server: usize) {
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

    pub(super) fn reply(&mut self, key: Key, outcome: AttemptOutcome) {
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
}
