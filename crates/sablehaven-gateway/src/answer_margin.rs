//! How long before its aim an answer must leave, as a pure module.
//!
//! Load: queries over dozens of shards with an aim of a few hop times, on a machine with a part of a
//! core. A timer that fires while the processor is elsewhere, merging and writing then take a good part
//! of the aim, and an answer that was decided on in time leaves late. How much later than planned a
//! gateway acts is observed at its own timers and answers; what most of the recent ones stay within,
//! and what had passed before a request arrived, come on top of the least margin as far as its room does not cover them.

use std::{collections::VecDeque, time::Duration};

/// The most overruns that are kept, so that memory and the work for a margin are bounded.
const MAXIMUM_SAMPLES: usize = 64;
/// Time for which an overrun counts. The share of a core and the load change within seconds; a caller should not
/// lose coverage for what has passed.
const WINDOW: Duration = Duration::from_secs(3);
/// The part of the overruns, 0 to 1, that the margin covers.
const QUANTILE: f64 = 0.9;
/// The part of an aim, 0 to 1, that a margin may take, so that the parts of a query have time.
const LARGEST_PART: f64 = 0.5;

/// The least margin divided by this is room for what is measured here; the rest is for the way to the caller.
const ROOM_DIVISOR: u32 = 3;
/// The resolution of timers: what is later by less was in time.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// The least and the largest margin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MarginBounds {
    pub(crate) min: Duration,
    pub(crate) max: Duration,
}

impl MarginBounds {
    /// Whether there is anything to learn.
    pub(crate) fn is_adaptive(self) -> bool {
        self.max > self.min
    }

    /// The largest margin for an aim.
    fn max_for(self, aim: Duration) -> Duration {
        self.max.min(aim.mul_f64(LARGEST_PART)).max(self.min)
    }
}

/// The recent overruns of one route, in the order in which they were observed. Times count from any fixed
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
    /// Takes in how much later than planned something was done.
    pub(crate) fn observe(&mut self, now: Duration, overrun: Duration) {
        if self.samples.len() == MAXIMUM_SAMPLES {
            self.samples.pop_front();
        }
        let overrun = overrun.saturating_sub(TIMER_RESOLUTION);
        self.samples.push_back(Sample { at: now, overrun });
    }

    /// How long before `aim`, counted from a request's arrival, its answer must leave where `spent` of the aim had
    /// passed by then.
    pub(crate) fn margin(
        &self,
        now: Duration,
        bounds: MarginBounds,
        aim: Duration,
        spent: Duration,
    ) -> Duration {
        let room = bounds.min / ROOM_DIVISOR;
        let measured = self.overrun(now) + spent;
        let margin = bounds.min + measured.saturating_sub(room);
        margin.min(bounds.max_for(aim))
    }

    /// What most recent overruns stay within. The largest never counts: one alone says nothing of the next.
    fn overrun(&self, now: Duration) -> Duration {
        let is_recent = |sample: &&Sample| now.saturating_sub(sample.at) < WINDOW;
        let mut recent = [Duration::ZERO; MAXIMUM_SAMPLES];
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
