//! One server: slots, a bounded queue, sheds, faults and load reports that lag.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sablehaven_routing::LoadReport;

use crate::arena::Key;
use crate::scenario::{Behaviour, ServerModel};

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The attempt.
    pub attempt: Key,
    /// When its caller gives up.
    pub deadline: Duration,
}

/// What a server does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It runs; it takes so long.
    Runs(Duration),
    /// It waits, for ever if the server is stuck.
    Waits,
    /// It is shed.
    Shed,
}

/// What happens when a slot gets free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// The attempt runs; it takes so long.
    Runs(Key, Duration),
    /// The attempt's deadline has passed; it is refused.
    Late(Key),
    /// Nothing waits.
    Idle,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    behaviour: Behaviour,
    misleading: bool,
    running: Vec<Key>,
    waiting: VecDeque<Work>,
    warmed_up_by: u32,
    report: u32,
    report_taken: Duration,
}

impl Server {
    /// An idle server; a misleading one always reports that it has nothing to do.
    pub fn new(misleading: bool) -> Self {
        Self {
            behaviour: Behaviour::Healthy,
            misleading,
            running: Vec::new(),
            waiting: VecDeque::new(),
            warmed_up_by: 0,
            report: 0,
            report_taken: Duration::ZERO,
        }
    }

    /// Changes the behaviour for requests that arrive from now on.
    pub fn behave(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
        self.warmed_up_by = 0;
    }

    /// Takes in a request.
    pub fn arrive(&mut self, model: &ServerModel, work: Work, random: &mut Pcg64Mcg) -> Arrival {
        match self.behaviour {
            Behaviour::Stuck => return Arrival::Waits,
            Behaviour::Shedding(share) if random.random::<f64>() < share => return Arrival::Shed,
            _ => {}
        }
        if self.running.len() < model.slots {
            return Arrival::Runs(self.start(model, work.attempt, random));
        }
        if self.waiting.len() >= model.queue {
            return Arrival::Shed;
        }
        self.waiting.push_back(work);
        Arrival::Waits
    }

    /// Frees the slot of an attempt; whether it was running.
    pub fn leave(&mut self, attempt: Key) -> bool {
        if let Some(index) = self.running.iter().position(|&running| running == attempt) {
            self.running.swap_remove(index);
            return true;
        }
        self.waiting.retain(|work| work.attempt != attempt);
        false
    }

    /// Starts the next request that waits; to be called until it gives something else than `Late`.
    pub fn next(&mut self, now: Duration, model: &ServerModel, random: &mut Pcg64Mcg) -> Next {
        let Some(work) = self.waiting.pop_front() else {
            return Next::Idle;
        };
        if work.deadline <= now {
            return Next::Late(work.attempt);
        }
        Next::Runs(work.attempt, self.start(model, work.attempt, random))
    }

    fn start(&mut self, model: &ServerModel, attempt: Key, random: &mut Pcg64Mcg) -> Duration {
        self.running.push(attempt);
        let mut stretch = log_normal(model.service_sigma, random);
        if random.random::<f64>() < model.straggler_share {
            stretch *= model.straggler_factor;
        }
        if let Behaviour::Cold { factor, requests } = self.behaviour {
            self.warmed_up_by += 1;
            let cold = 1.0 - f64::from(self.warmed_up_by.min(requests)) / f64::from(requests);
            stretch *= 1.0 + (factor - 1.0) * cold;
        }
        model.mean_service.mul_f64(stretch)
    }

    /// The load report that a reply carries: it is repeated until it is older than the lag.
    pub fn report(&mut self, now: Duration, model: &ServerModel) -> LoadReport {
        if self.misleading {
            return LoadReport {
                running_and_queued: 0,
                age: Duration::ZERO,
            };
        }
        if now.saturating_sub(self.report_taken) >= model.report_lag {
            self.report = (self.running.len() + self.waiting.len()) as u32;
            self.report_taken = now;
        }
        LoadReport {
            running_and_queued: self.report,
            age: now.saturating_sub(self.report_taken),
        }
    }
}

/// A log-normal number with mean 1 (Box and Muller's method for the normal one).
fn log_normal(sigma: f64, random: &mut Pcg64Mcg) -> f64 {
    let uniform: f64 = 1.0 - random.random::<f64>();
    let angle = std::f64::consts::TAU * random.random::<f64>();
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
