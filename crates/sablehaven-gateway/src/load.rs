//! How much a gateway has to do, as it tells the control replicas.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::Duration,
};

use sablehaven_wire::GatewayLoad;

/// Readings that a load spans: with one each half second, the last second. Long enough that a few requests
/// at once don't look like a busy gateway, short enough that a burst shows before callers renew what they know.
const MAX_SAMPLES: usize = 3;

/// Sums since the start, at one moment.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    recorded_at: Duration,
    busy: Duration,
    attempts: u64,
}

/// Measures the load between the readings that it is given.
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

    /// Takes a reading: `busy` is how long the gateway has worked since its start, `now` any steady time.
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

    /// The load over the readings that are held; none before there are two.
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
