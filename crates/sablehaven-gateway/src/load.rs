//! Measures the load of a gateway, which it reports to the control replicas.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::Duration,
};

use sablehaven_wire::GatewayLoad;

/// Number of samples that the load covers: with a sample every half second, the last second. This is long enough
/// that a few simultaneous requests do not look like a busy gateway, and short enough that a burst shows before
/// callers refresh what they know of the gateways.
const MAX_SAMPLES: usize = 3;

/// Totals since the start, at one point in time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    recorded_at: Duration,
    busy: Duration,
    attempts: u64,
}

/// Computes the load between the recorded samples.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    attempts: Cell<u64>,
    samples: RefCell<VecDeque<LoadSample>>,
}

impl LoadMeter {
    /// Counts an attempt at a server.
    pub(crate) fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Records a sample. `busy` is the total time that the gateway has worked since its start, and `now` is a
    /// reading of a monotonic clock.
    pub(crate) fn record(&self, now: Duration, busy: Duration) {
        let mut samples = self.samples.borrow_mut();
        samples.push_back(LoadSample {
            recorded_at: now,
            busy,
            attempts: self.attempts.get(),
        });
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// The load over the recorded samples; zero with fewer than two samples.
    pub(crate) fn load(&self) -> GatewayLoad {
        let samples = self.samples.borrow();
        let (Some(first), Some(last)) = (samples.front(), samples.back()) else {
            return GatewayLoad::default();
        };
        let elapsed = last.recorded_at.saturating_sub(first.recorded_at);
        if elapsed.is_zero() {
            return GatewayLoad::default();
        }
        let busy = last.busy.saturating_sub(first.busy).as_secs_f64() / elapsed.as_secs_f64();
        let attempts = last.attempts - first.attempts;
        GatewayLoad {
            busy_permille: (busy.min(1.0) * 1_000.0).round() as u16,
            attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        }
    }
}

#[cfg(test)]
mod tests;
