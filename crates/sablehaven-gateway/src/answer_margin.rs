//! Computes how long before its latency target a response must be sent. The computation is a pure function of the
//! observed delays.
//!
//! The margin is made for queries over dozens of shards with a latency target of a few network hops, on a machine
//! that has only a fraction of a core. There, a timer that fires while the processor runs something else, merging and
//! writing use up a good part of the latency target, and a response that was decided on in time is sent late.
//!
//! Therefore a gateway observes at its own timers and responses how much later than planned it acts. The margin is
//! the configured minimum, plus a quantile of the recent overruns and the time that had passed before the request
//! arrived, less the allowance that the minimum already includes for them.

use std::{collections::VecDeque, time::Duration};

/// Maximum number of overruns that are kept, which bounds the memory and the work for a margin.
const MAX_SAMPLES: usize = 64;
/// Time for which an overrun counts. The share of a core and the load change within seconds, and a caller should not
/// lose coverage for a delay that is over.
const WINDOW: Duration = Duration::from_secs(3);
/// Quantile of the overruns that the margin covers.
const QUANTILE: f64 = 0.9;
/// Maximum fraction of a latency target for the margin, so that the parts of a query have enough time.
const MAX_FRACTION: f64 = 0.5;

/// The minimum margin divided by this is its allowance for the measured delays; the rest covers the network path to
/// the caller.
const ALLOWANCE_DIVISOR: u32 = 3;
/// Resolution of timers. A smaller overrun counts as none.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Minimum and maximum of the margin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MarginBounds {
    pub(crate) min: Duration,
    pub(crate) max: Duration,
}

impl MarginBounds {
    /// Whether the margin adapts to observed overruns.
    pub(crate) fn is_adaptive(self) -> bool {
        self.max > self.min
    }

    /// The maximum margin for a latency target.
    fn max_for(self, latency_target: Duration) -> Duration {
        self.max
            .min(latency_target.mul_f64(MAX_FRACTION))
            .max(self.min)
    }
}

/// The recent overruns of one route, in the order in which they were observed. Times are relative to any fixed
/// moment.
#[derive(Debug, Default)]
pub(crate) struct AnswerMargin {
    samples: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    overrun: Duration,
}

impl AnswerMargin {
    /// Records how much later than planned something was done.
    pub(crate) fn observe(&mut self, now: Duration, overrun: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let overrun = overrun.saturating_sub(TIMER_RESOLUTION);
        self.samples.push_back(Sample { at: now, overrun });
    }

    /// How long before the end of `latency_target`, counted from a request's arrival, its response must be sent.
    /// `spent` is the time that the request had already used up at its caller and on its way before it arrived.
    pub(crate) fn margin(
        &self,
        now: Duration,
        bounds: MarginBounds,
        latency_target: Duration,
        spent: Duration,
    ) -> Duration {
        let allowance = bounds.min / ALLOWANCE_DIVISOR;
        let measured = self.overrun(now) + spent;
        let margin = bounds.min + measured.saturating_sub(allowance);
        margin.min(bounds.max_for(latency_target))
    }

    /// The quantile of the recent overruns. The largest one never counts, since a single outlier does not predict the
    /// next overrun.
    fn overrun(&self, now: Duration) -> Duration {
        let is_recent = |sample: &&Sample| now.saturating_sub(sample.at) < WINDOW;
        let mut recent = [Duration::ZERO; MAX_SAMPLES];
        let mut count = 0;
        for sample in self.samples.iter().filter(is_recent) {
            recent[count] = sample.overrun;
            count += 1;
        }
        if count < 2 {
            return Duration::ZERO;
        }
        let rank = (count as f64 * QUANTILE).ceil() as usize;
        let position = (rank - 1).min(count - 2);
        *recent[..count].select_nth_unstable(position).1
    }
}

#[cfg(test)]
mod tests;
