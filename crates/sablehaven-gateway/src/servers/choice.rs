//! Chooses the server of the next attempt: the one with the lowest expected cost. Free of I/O.

use std::time::Duration;

use sablehaven_types::Distance;

/// Latency that an attempt in another region must save in addition to its round trip, because traffic between regions
/// is expensive.
const REGION_PENALTY: Duration = Duration::from_millis(15);
/// Latency that an attempt in another zone of the region must save in addition to its round trip.
const ZONE_PENALTY: Duration = Duration::from_millis(2);
/// Cost of a stalled server: the expected time until it replies again.
const STALL_PENALTY: Duration = Duration::from_millis(250);
/// Cost of a server in backoff. It is high enough that such a server is chosen only if there is no other.
const BACKOFF_PENALTY: Duration = Duration::from_secs(3_600);
/// Cost of a failure: a second attempt at another server, which also uses the retry budget.
const FAILURE_PENALTY: Duration = Duration::from_millis(250);
/// Lower bound of the service time ratio; no server is assumed to be faster than that.
const MIN_SERVICE_TIME_RATIO: f64 = 0.1;
/// Factor on the expected service time of a cold server.
const COLD_FACTOR: f64 = 1.6;

/// What the gateway knows about a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) distance: Distance,
    /// Network round trip time.
    pub(crate) round_trip: Duration,
    /// Service time of its replies relative to the typical service time of their routes.
    pub(crate) service_time_ratio: f64,
    /// Probability that it fails the request, 0 to 1.
    pub(crate) failure_rate: f64,
    /// This gateway's attempts in progress at the server.
    pub(crate) outstanding: usize,
    /// Requests that this gateway can have in progress at the server: the lower of the server's slots and the
    /// connection limit.
    pub(crate) concurrency: u32,
    /// Whether it owes replies and has sent none for longer than expected.
    pub(crate) is_stalled: bool,
    /// Whether it is in backoff after failures.
    pub(crate) is_in_backoff: bool,
    /// Whether it is still warming up after a start.
    pub(crate) is_cold: bool,
}

/// The expected cost of an attempt at a server, as a time.
pub(crate) fn cost(candidate: &Candidate, typical: Duration) -> Duration {
    let cold_factor = if candidate.is_cold { COLD_FACTOR } else { 1.0 };
    let queue_factor = 1.0 + candidate.outstanding as f64 / f64::from(candidate.concurrency.max(1));
    let service_time_ratio = candidate.service_time_ratio.max(MIN_SERVICE_TIME_RATIO);
    let service_time = typical.mul_f64(service_time_ratio * cold_factor * queue_factor);
    let failure_cost = FAILURE_PENALTY.mul_f64(candidate.failure_rate);
    let mut cost =
        candidate.round_trip + service_time + distance_penalty(candidate.distance) + failure_cost;
    if candidate.is_stalled {
        cost += STALL_PENALTY;
    }
    if candidate.is_in_backoff {
        cost += BACKOFF_PENALTY;
    }
    cost
}

fn distance_penalty(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => ZONE_PENALTY,
        Distance::Remote => REGION_PENALTY,
    }
}

/// A choice among servers that are considered one after the other, the nearest first.
///
/// A distant server whose round trip alone costs too much need not be considered. With 42 servers in three regions,
/// only 14 are considered.
pub(crate) struct Choice<K> {
    typical: Duration,
    min_cost: Option<Duration>,
    candidates: Vec<(Duration, K)>,
}

impl<K> Choice<K> {
    /// Starts a choice; `typical` is the typical service time of the request.
    pub(crate) fn new(typical: Duration) -> Self {
        Self {
            typical,
            min_cost: None,
            candidates: Vec::new(),
        }
    }

    /// Whether a server at this distance cannot be chosen even if it is as fast as any server can be.
    pub(crate) fn is_too_far(&self, distance: Distance, round_trip: Duration) -> bool {
        let min_service_time = self.typical.mul_f64(MIN_SERVICE_TIME_RATIO);
        let lower_bound = round_trip + min_service_time + distance_penalty(distance);
        self.min_cost
            .is_some_and(|min_cost| lower_bound > tie_limit(min_cost))
    }

    /// Adds a server to the candidates.
    pub(crate) fn consider(&mut self, key: K, candidate: &Candidate) {
        let cost = cost(candidate, self.typical);
        self.min_cost = Some(self.min_cost.map_or(cost, |min_cost| min_cost.min(cost)));
        self.candidates.push((cost, key));
    }

    /// Returns a server of the lowest cost; `draw` (0 to 1) selects one of those that tie.
    pub(crate) fn pick(mut self, draw: f64) -> Option<K> {
        let limit = tie_limit(self.min_cost?);
        self.candidates.retain(|(cost, _)| *cost <= limit);
        let position = (draw * self.candidates.len() as f64) as usize;
        let position = position.min(self.candidates.len() - 1);
        Some(self.candidates.swap_remove(position).1)
    }
}

/// The highest cost that ties with `min_cost`. Costs within 5% are equal, because the estimates are no more precise.
fn tie_limit(min_cost: Duration) -> Duration {
    min_cost.mul_f64(1.05)
}

#[cfg(test)]
mod tests;
