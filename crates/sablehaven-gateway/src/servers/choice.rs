//! Which server gets the next attempt, as a pure decision.

use std::time::Duration;

use sablehaven_types::Distance;

/// Time that leaving the region must save beyond the way itself: bytes between regions are dear.
const REGION_RELUCTANCE: Duration = Duration::from_millis(15);
/// Time that leaving the zone must save.
const ZONE_RELUCTANCE: Duration = Duration::from_millis(2);
/// What a server that stands still is taken to need until it goes on.
const STILL_PENALTY: Duration = Duration::from_millis(250);
/// What a resting server costs: it is only taken when there is no other.
const REST_PENALTY: Duration = Duration::from_secs(3_600);
/// What a failure costs: a second attempt elsewhere, which the budget must bear.
const FAILURE_PENALTY: Duration = Duration::from_millis(250);
/// The least slowness that counts: a server is not taken to be faster than that.
const LEAST_SLOWNESS: f64 = 0.1;
/// Slowness of a server that has just started.
const COLD_RATIO: f64 = 1.6;

/// What is known of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) distance: Distance,
    /// One way there and back.
    pub(crate) round_trip: Duration,
    /// What answers take, relative to the usual.
    pub(crate) slowness: f64,
    /// How likely it is to fail the request, 0 to 1.
    pub(crate) failure_rate: f64,
    /// This gateway's attempts under way there.
    pub(crate) outstanding: usize,
    /// Requests of this gateway that can be under way there: its slots, or fewer connections.
    pub(crate) lanes: u32,
    pub(crate) stands_still: bool,
    pub(crate) is_resting: bool,
    /// Whether it has only just started.
    pub(crate) is_cold: bool,
}

/// What an attempt at a server is expected to cost, as a time.
pub(crate) fn cost(candidate: &Candidate, usual: Duration) -> Duration {
    let cold = if candidate.is_cold { COLD_RATIO } else { 1.0 };
    let queue = 1.0 + candidate.outstanding as f64 / f64::from(candidate.lanes.max(1));
    let slowness = candidate.slowness.max(LEAST_SLOWNESS);
    let work = usual.mul_f64(slowness * cold * queue);
    let failing = FAILURE_PENALTY.mul_f64(candidate.failure_rate);
    let mut cost = candidate.round_trip + work + reluctance(candidate.distance) + failing;
    if candidate.stands_still {
        cost += STILL_PENALTY;
    }
    if candidate.is_resting {
        cost += REST_PENALTY;
    }
    cost
}

fn reluctance(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => ZONE_RELUCTANCE,
        Distance::Remote => REGION_RELUCTANCE,
    }
}

/// A choice among servers that are looked at one after the other, the near ones first.
///
/// A far server whose way alone costs too much is not looked at: with 42 servers in three regions that leaves 14.
pub(crate) struct Choice<Key> {
    usual: Duration,
    least: Option<Duration>,
    costed: Vec<(Duration, Key)>,
}

impl<Key> Choice<Key> {
    /// Nothing was looked at yet; `usual` is what the request usually takes at a server.
    pub(crate) fn new(usual: Duration) -> Self {
        Self {
            usual,
            least: None,
            costed: Vec::new(),
        }
    }

    /// Whether a server cannot be chosen, however well it does.
    pub(crate) fn is_too_far(&self, distance: Distance, round_trip: Duration) -> bool {
        let fastest = self.usual.mul_f64(LEAST_SLOWNESS);
        let at_least = round_trip + fastest + reluctance(distance);
        self.least.is_some_and(|least| at_least > alike(least))
    }

    /// Looks at a server.
    pub(crate) fn look_at(&mut self, key: Key, candidate: &Candidate) {
        let cost = cost(candidate, self.usual);
        self.least = Some(self.least.map_or(cost, |least| least.min(cost)));
        self.costed.push((cost, key));
    }

    /// The cheapest; `draw` (0 to 1) decides among equally cheap ones.
    pub(crate) fn draw(mut self, draw: f64) -> Option<Key> {
        let limit = alike(self.least?);
        self.costed.retain(|(cost, _)| *cost <= limit);
        let position = (draw * self.costed.len() as f64) as usize;
        let position = position.min(self.costed.len() - 1);
        Some(self.costed.swap_remove(position).1)
    }
}

/// Costs within a twentieth are the same: estimates are no finer.
fn alike(least: Duration) -> Duration {
    least.mul_f64(1.05)
}

#[cfg(test)]
mod tests;
