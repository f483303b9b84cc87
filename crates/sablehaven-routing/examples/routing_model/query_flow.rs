//! The agents' part of the simulation: a query from admission control to its answer.

use std::time::Duration;

use sablehaven_routing::{AttemptOutcome, AttemptResult, ExtraAttemptKind};

use super::{Attempt, Event, MAX_ATTEMPTS, Query, Reply, Simulation, SubRequest};
use crate::arena::Key;

impl Simulation<'_> {
    pub(super) fn start_query(&mut self, agent: usize, retries_left: u32) {
        let (now, shards) = (self.now(), self.scenario.topology.shards);
        if let Err(retry_after) = self.policies[agent].admit(now, shards as u32) {
            self.refuse(agent, retries_left, retry_after);
            return;
        }
        if self.is_measured() {
            self.measurements.counts.needed += shards as u64;
        }
        let regions = self.scenario.topology.regions;
        self.measurements.second(now, regions).needed += shards as u64;
        let query = self.queries.insert(Query {
            agent,
            started_at: now,
            deadline: now + self.scenario.deadline,
            sub_requests: vec![SubRequest::default(); shards],
            open_sub_requests: shards,
            missing_shards: 0,
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

    pub(super) fn refuse(&mut self, agent: usize, retries_left: u32, retry_after: Duration) {
        if retries_left > 0 {
            let event = Event::CallerRetries {
                agent,
                retries_left: retries_left - 1,
            };
            self.scheduler.after(retry_after, event);
            return;
        }
        if self.is_measured() {
            self.measurements.counts.refused += 1;
        }
    }

    pub(super) fn send_first(&mut self, query: Key, shard: usize, server: usize) {
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

    pub(super) fn send(&mut self, query_key: Key, shard: usize, server: usize) {
        let (now, measured) = (self.now(), self.is_measured());
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
        self.used_by_agent[server][agent] = true;
        self.policies[agent].sent(now, server);
        let delay = self.latency(agent, server);
        self.scheduler.after(delay, Event::AttemptArrives(attempt));
    }

    pub(super) fn reply_arrives(&mut self, key: Key, reply: Reply) {
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
        let none_outstanding = sub_request.outstanding.is_empty();
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
        } else if none_outstanding {
            self.retry(attempt.query, attempt.shard);
        }
    }

    pub(super) fn retry(&mut self, key: Key, shard: usize) {
        if !self.send_extra(key, shard, ExtraAttemptKind::Retry) {
            self.close(key, shard, false);
        }
    }

    pub(super) fn hedge_due(&mut self, key: Key, shard: usize) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let sub_request = &mut query.sub_requests[shard];
        if sub_request.done || sub_request.hedged || sub_request.outstanding.is_empty() {
            return;
        }
        sub_request.hedged = true;
        self.send_extra(key, shard, ExtraAttemptKind::Hedge);
    }

    pub(super) fn send_extra(&mut self, key: Key, shard: usize, kind: ExtraAttemptKind) -> bool {
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

    pub(super) fn count_extra(&mut self, kind: ExtraAttemptKind) {
        let (now, regions) = (self.now(), self.scenario.topology.regions);
        self.measurements.second(now, regions).extra += 1;
        if !self.is_measured() {
            return;
        }
        match kind {
            ExtraAttemptKind::Hedge => self.measurements.counts.hedges += 1,
            ExtraAttemptKind::Retry => self.measurements.counts.retries += 1,
        }
    }

    /// Closes one sub-request of a query, and ends the query when no other sub-request is open.
    pub(super) fn close(&mut self, key: Key, shard: usize, answered: bool) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let agent = query.agent;
        let sub_request = &mut query.sub_requests[shard];
        if sub_request.done {
            return;
        }
        sub_request.done = true;
        query.open_sub_requests -= 1;
        query.missing_shards += usize::from(!answered);
        let outstanding = std::mem::take(&mut sub_request.outstanding);
        let ended = query.open_sub_requests == 0;
        if answered && self.is_measured() {
            self.measurements.counts.answered += 1;
        }
        for attempt in outstanding {
            self.cancel(agent, attempt, AttemptOutcome::Cancelled);
        }
        if ended && let Some(query) = self.queries.remove(key) {
            self.end_query(&query);
        }
    }

    pub(super) fn cancel(&mut self, agent: usize, key: Key, outcome: AttemptOutcome) {
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

    pub(super) fn deadline_passes(&mut self, key: Key) {
        let Some(mut query) = self.queries.remove(key) else {
            return;
        };
        for sub_request in &mut query.sub_requests {
            if sub_request.done {
                continue;
            }
            query.missing_shards += 1;
            for attempt in std::mem::take(&mut sub_request.outstanding) {
                self.cancel(query.agent, attempt, AttemptOutcome::Failed);
            }
        }
        self.end_query(&query);
    }

    pub(super) fn end_query(&mut self, query: &Query) {
        let now = self.now();
        let complete = query.missing_shards == 0;
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
