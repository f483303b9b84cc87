//! The servers' part of the simulation: arrival, execution, completion and cancellation of
//! requests.

use std::time::Duration;

use sablehaven_routing::AttemptOutcome;

use super::{Event, Reply, Simulation};
use crate::arena::Key;
use crate::server::{Arrival, NextRequest, Request};

impl Simulation<'_> {
    pub(super) fn attempt_arrives(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key).copied() else {
            return;
        };
        let Some(deadline) = self.queries.get(attempt.query).map(|query| query.deadline) else {
            return;
        };
        let request = Request {
            attempt: key,
            deadline,
        };
        let model = &self.scenario.servers;
        match self.servers[attempt.server].arrive(model, request, &mut self.random) {
            Arrival::Started(time) => self.schedule_completion(attempt.server, key, time),
            Arrival::Queued => {}
            Arrival::Shed => self.reply(key, AttemptOutcome::Shed),
        }
    }

    pub(super) fn schedule_completion(&mut self, server: usize, attempt: Key, time: Duration) {
        self.scheduler
            .after(time, Event::ServiceEnds { server, attempt });
    }

    pub(super) fn service_ends(&mut self, server: usize, attempt: Key) {
        if !self.servers[server].remove(attempt) {
            return;
        }
        let topology = &self.scenario.topology;
        let region = topology.region_of_zone(topology.zone_of_server(server));
        let (now, regions) = (self.now(), topology.regions);
        self.measurements.second(now, regions).served[region] += 1;
        self.reply(attempt, AttemptOutcome::Replied);
        self.start_next_request(server);
    }

    pub(super) fn cancel_arrives(&mut self, server: usize, attempt: Key) {
        if self.servers[server].remove(attempt) {
            self.start_next_request(server);
        }
    }

    pub(super) fn start_next_request(&mut self, server: usize) {
        let now = self.now();
        let model = &self.scenario.servers;
        loop {
            match self.servers[server].start_next(now, model, &mut self.random) {
                NextRequest::Started(attempt, time) => {
                    self.schedule_completion(server, attempt, time);
                    return;
                }
                NextRequest::Expired(attempt) => {
                    self.reply(attempt, AttemptOutcome::DeadlineRefused)
                }
                NextRequest::Idle => return,
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
