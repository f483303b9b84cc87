//! A simulated server with slots, a bounded queue, load shedding, faults and delayed load reports.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sablehaven_routing::LoadReport;

use crate::arena::Key;
use crate::scenario::{Behaviour, ServerModel};

/// A request that arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The attempt.
    pub attempt: Key,
    /// The time at which the caller gives up.
    pub deadline: Duration,
}

/// How a server handles an arriving request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// The request runs for this service time.
    Started(Duration),
    /// The request is queued, or never answered if the server is stuck.
    Queued,
    /// The request is shed.
    Shed,
}

/// How a server uses a free slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextRequest {
    /// The attempt runs for this service time.
    Started(Key, Duration),
    /// The attempt is refused because its deadline has passed.
    Expired(Key),
    /// The queue is empty.
    Idle,
}

/// A simulated server.
#[derive(Debug)]
pub struct Server {
    behaviour: Behaviour,
    misleading: bool,
    running: Vec<Key>,
    queued: VecDeque<Request>,
    requests_while_cold: u32,
    report: u32,
    report_taken_at: Duration,
}

impl Server {
    /// Creates an idle server. A misleading one always reports that it has no load.
    pub fn new(misleading: bool) -> Self {
        Self {
            behaviour: Behaviour::Healthy,
            misleading,
            running: Vec::new(),
            queued: VecDeque::new(),
            requests_while_cold: 0,
            report: 0,
            report_taken_at: Duration::ZERO,
        }
    }

    /// Sets the behaviour for requests that arrive from now on.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
        self.requests_while_cold = 0;
    }

    /// Runs, queues or sheds an arriving request.
    pub fn arrive(
        &mut self,
        model: &ServerModel,
        request: Request,
        random: &mut Pcg64Mcg,
    ) -> Arrival {
        match self.behaviour {
            Behaviour::Stuck => return Arrival::Queued,
            Behaviour::Shedding(share) if random.random::<f64>() < share => return Arrival::Shed,
            _ => {}
        }
        if self.running.len() < model.slots {
            return Arrival::Started(self.start(model, request.attempt, random));
        }
        if self.queued.len() >= model.queue {
            return Arrival::Shed;
        }
        self.queued.push_back(request);
        Arrival::Queued
    }

    /// Removes an attempt and returns whether it was running, so that its slot is free now.
    pub fn remove(&mut self, attempt: Key) -> bool {
        if let Some(index) = self.running.iter().position(|&running| running == attempt) {
            self.running.swap_remove(index);
            return true;
        }
        self.queued.retain(|request| request.attempt != attempt);
        false
    }

    /// Starts the next queued request. The caller repeats the call while it returns `Expired`.
    pub fn start_next(
        &mut self,
        now: Duration,
        model: &ServerModel,
        random: &mut Pcg64Mcg,
    ) -> NextRequest {
        let Some(request) = self.queued.pop_front() else {
            return NextRequest::Idle;
        };
        if request.deadline <= now {
            return NextRequest::Expired(request.attempt);
        }
        NextRequest::Started(request.attempt, self.start(model, request.attempt, random))
    }

    fn start(&mut self, model: &ServerModel, attempt: Key, random: &mut Pcg64Mcg) -> Duration {
        self.running.push(attempt);
        let mut slowdown = log_normal(model.service_sigma, random);
        if random.random::<f64>() < model.straggler_share {
            slowdown *= model.straggler_factor;
        }
        if let Behaviour::Cold { factor, requests } = self.behaviour {
            self.requests_while_cold += 1;
            let cold =
                1.0 - f64::from(self.requests_while_cold.min(requests)) / f64::from(requests);
            slowdown *= 1.0 + (factor - 1.0) * cold;
        }
        model.mean_service.mul_f64(slowdown)
    }

    /// Returns the load report for a reply. The same report is repeated until its age reaches
    /// `report_lag`.
    pub fn report(&mut self, now: Duration, model: &ServerModel) -> LoadReport {
        if self.misleading {
            return LoadReport {
                running_and_queued: 0,
                age: Duration::ZERO,
            };
        }
        if now.saturating_sub(self.report_taken_at) >= model.report_lag {
            self.report = (self.running.len() + self.queued.len()) as u32;
            self.report_taken_at = now;
        }
        LoadReport {
            running_and_queued: self.report,
            age: now.saturating_sub(self.report_taken_at),
        }
    }
}

/// Draws a log-normal number with mean 1, from a normal one by the Box-Muller transform.
fn log_normal(sigma: f64, random: &mut Pcg64Mcg) -> f64 {
    let uniform: f64 = 1.0 - random.random::<f64>();
    let angle = std::f64::consts::TAU * random.random::<f64>();
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
