//! When a gateway may send to a cold server, as a pure decision.
//!
//! A cold server bears a few requests a second from all gateways together, often fewer than there are
//! gateways. Each gateway therefore has turns: one request in each period, at a place in it that it has drawn.
//! A turn that is not used ends soon. Turns that could be saved would all be used at once when requests come
//! after a lull, by every gateway.

use std::time::Duration;

/// Part of the bound that the turns of all gateways add up to: their number is known a little late.
const USED_SHARE: f64 = 0.8;
/// Longest time for which a turn lasts: a part of the second over which arrivals are counted.
const LONGEST_TURN_S: f64 = 0.25;

/// What a cold server bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ColdLimit {
    /// Requests a second from all gateways together.
    pub(super) per_second: f64,
    /// The gateways that may send to it; `None` for one that has no part.
    pub(super) gateways: Option<u32>,
}

/// One gateway's turns at one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdTurns {
    /// Where in the period the turn begins, 0 to 1; drawn at random.
    phase: f64,
    /// The latest turn that was used.
    used: Option<u64>,
}

impl ColdTurns {
    pub(super) fn new(phase: f64) -> Self {
        Self { phase, used: None }
    }

    /// The turn that runs at `now`, any steady time, unless it has been used.
    fn open_turn(&self, now: Duration, limit: ColdLimit) -> Option<u64> {
        let gateways = limit.gateways?.max(1);
        let rate = USED_SHARE * limit.per_second / f64::from(gateways);
        let period = 1.0 / rate;
        let passed = now.as_secs_f64() / period + self.phase;
        let is_running = passed.fract() * period < LONGEST_TURN_S;
        let turn = passed as u64;
        (is_running && self.used != Some(turn)).then_some(turn)
    }

    /// Whether a request may be sent now.
    pub(super) fn is_open(&self, now: Duration, limit: ColdLimit) -> bool {
        self.open_turn(now, limit).is_some()
    }

    /// A request is sent now.
    pub(super) fn take(&mut self, now: Duration, limit: ColdLimit) {
        self.used = self.open_turn(now, limit).or(self.used);
    }
}

#[cfg(test)]
mod tests;
