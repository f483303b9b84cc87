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
    let work = usual.mul_f64(candidate.slowness.max(0.1) * cold * queue);
    let reluctance = match candidate.distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => ZONE_RELUCTANCE,
        Distance::Remote => REGION_RELUCTANCE,
    };
    let failing = FAILURE_PENALTY.mul_f64(candidate.failure_rate);
    let mut cost = candidate.round_trip + work + reluctance + failing;
    if candidate.stands_still {
        cost += STILL_PENALTY;
    }
    if candidate.is_resting {
        cost += REST_PENALTY;
    }
    cost
}

/// The cheapest of the candidates; `draw` (0 to 1) decides among equally cheap ones.
pub(crate) fn choose<Key>(
    candidates: impl IntoIterator<Item = (Key, Candidate)>,
    usual: Duration,
    draw: f64,
) -> Option<Key> {
    let mut costed: Vec<(Duration, Key)> = candidates
        .into_iter()
        .map(|(key, candidate)| (cost(&candidate, usual), key))
        .collect();
    let least = costed.iter().map(|(cost, _)| *cost).min()?;
    // Costs within a twentieth are the same: estimates are no finer.
    let limit = least.mul_f64(1.05);
    costed.retain(|(cost, _)| *cost <= limit);
    let position = (draw * costed.len() as f64) as usize;
    let position = position.min(costed.len() - 1);
    Some(costed.swap_remove(position).1)
}

#[cfg(test)]
mod tests;
