//! Decides when a gateway may send to a cold server, that is, one that is still warming up. Free of I/O.
//!
//! A cold server can handle a few requests per second from all gateways together, often fewer than there are gateways.
//! Each gateway therefore has one turn per period, at a random phase, and may send one request in it. An unused turn
//! expires soon: if turns accumulated, every gateway would use all of its turns at once when requests arrive after an
//! idle time.

use std::time::Duration;

/// Fraction of the limit that the turns of all gateways add up to. The rest is a margin, because a gateway learns of a
/// changed number of gateways with a delay.
const USABLE_FRACTION: f64 = 0.8;
/// Maximum length of a turn; well below the second over which arrivals are counted.
const MAX_TURN_SECONDS: f64 = 0.25;

/// Maximum number of turns per second: one per nanosecond, the resolution of the clock. The number of a turn would
/// otherwise exceed its type, and every later turn would count as used.
const MAX_TURNS_PER_SECOND: f64 = 1e9;

/// The load that a cold server can handle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ColdLimit {
    /// Requests per second from all gateways together.
    pub(super) per_second: f64,
    /// The number of gateways that share the limit; `None` if this gateway has no share of it.
    pub(super) gateways: Option<u32>,
}

/// One gateway's turns at one cold server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdTurns {
    /// Random phase of the turns within the period, 0 to 1.
    phase: f64,
    /// The latest turn that was used.
    last_used: Option<u64>,
}

impl ColdTurns {
    pub(super) fn new(phase: f64) -> Self {
        Self {
            phase,
            last_used: None,
        }
    }

    /// The number of the turn that is open at `now`, a monotonic time, unless it has been used.
    fn open_turn(&self, now: Duration, limit: ColdLimit) -> Option<u64> {
        let gateways = limit.gateways?.max(1);
        let turns_per_second = USABLE_FRACTION * limit.per_second / f64::from(gateways);
        let turns_per_second = turns_per_second.min(MAX_TURNS_PER_SECOND);
        let period_seconds = 1.0 / turns_per_second;
        let elapsed_periods = now.as_secs_f64() / period_seconds + self.phase;
        let is_in_turn = elapsed_periods.fract() * period_seconds < MAX_TURN_SECONDS;
        let turn = elapsed_periods as u64;
        (is_in_turn && self.last_used != Some(turn)).then_some(turn)
    }

    /// Whether a request may be sent now.
    pub(super) fn is_open(&self, now: Duration, limit: ColdLimit) -> bool {
        self.open_turn(now, limit).is_some()
    }

    /// Marks the current turn as used by a request that is sent now.
    pub(super) fn use_turn(&mut self, now: Duration, limit: ColdLimit) {
        self.last_used = self.open_turn(now, limit).or(self.last_used);
    }
}

#[cfg(test)]
mod tests;
