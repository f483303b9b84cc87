//! Share of a shard's work that spills from near replicas to farther ones under overload.
//!
//! The share moves outward in small steps while the near replicas are under pressure and their
//! pressure exceeds that of the farther ones by more than an allowed difference. It moves back when
//! the difference is smaller or the near replicas have spare capacity. While the near pressure is
//! between the two thresholds it only moves back. Each agent and shard takes its steps at different
//! times, so that agents do not oscillate together.

use std::time::Duration;

use sablehaven_types::{DISTANCES, Distance};

/// Mean time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Size of a step relative to the amount by which the pressure difference exceeds the allowed one,
/// outward or back. It is equal in both directions; otherwise noise in the pressures would drive
/// the share to one end.
const STEP_GAIN: f64 = 0.05;
/// Largest step outward.
const MAX_OUTWARD_STEP: f64 = 0.15;
/// Largest step back, and the size of a step while the near replicas have spare capacity.
const MAX_INWARD_STEP: f64 = 0.1;
/// Largest share that may leave a distance. The rest keeps showing whether there is spare capacity
/// again.
const MAX_OUTWARD_SHARE: f64 = 0.95;

/// Thresholds for moving work between one distance and the farther ones.
#[derive(Clone, Copy, Debug)]
struct SpillThresholds {
    /// Pressure of the near replicas above which work moves outward.
    high: f64,
    /// Pressure of the near replicas below which work moves back.
    low: f64,
    /// Amount by which the pressure of the near replicas may exceed that of the farther ones.
    allowed_difference: f64,
}

/// Thresholds, nearest first: zone to region, region to remote. Another zone is 1 ms away, less
/// than most requests take, so work goes there before requests queue. Another region is 10 ms away,
/// so work goes there only when several requests queue for each slot.
const SPILL_THRESHOLDS: [SpillThresholds; DISTANCES.len() - 1] = [
    SpillThresholds {
        high: 1.0,
        low: 0.7,
        allowed_difference: 0.05,
    },
    SpillThresholds {
        high: 1.5,
        low: 1.0,
        allowed_difference: 0.15,
    },
];

/// Pressure of the replicas at each distance, `None` if none is available.
///
/// 1 means that all slots are busy and no request is queued.
pub type Pressures = [Option<f64>; DISTANCES.len()];

/// Distribution of one shard's attempts over distances, in one agent.
#[derive(Clone, Debug)]
pub struct Spill {
    outward_shares: [f64; SPILL_THRESHOLDS.len()],
    next_step_at: Duration,
}

impl Spill {
    /// Creates a distribution without spill. `phase` from 0 to 1 offsets the times of the steps.
    pub fn new(now: Duration, phase: f64) -> Self {
        Self {
            outward_shares: [0.0; SPILL_THRESHOLDS.len()],
            next_step_at: now + STEP_INTERVAL.mul_f64(phase),
        }
    }

    /// Returns whether a step is due.
    pub fn is_step_due(&self, now: Duration) -> bool {
        now >= self.next_step_at
    }

    /// Takes one step. `phase` from 0 to 1 varies the time to the next one.
    pub fn step(&mut self, now: Duration, pressures: &Pressures, phase: f64) {
        self.next_step_at = now + STEP_INTERVAL.mul_f64(0.75 + 0.5 * phase);
        for (index, thresholds) in SPILL_THRESHOLDS.iter().enumerate() {
            let near = pressures[index];
            let far = pressures[index + 1..].iter().flatten().copied();
            let least_far = far.fold(None, |least: Option<f64>, next| {
                Some(least.map_or(next, |least| least.min(next)))
            });
            self.outward_shares[index] =
                thresholds.next_share(self.outward_shares[index], near, least_far);
        }
    }

    /// Returns the distance for one attempt, given a uniformly random `draw` from 0 to 1.
    pub fn distance(&self, draw: f64) -> Distance {
        let stays_in_zone = 1.0 - self.outward_shares[0];
        if draw < stays_in_zone {
            return Distance::Zone;
        }
        let stays_in_region = self.outward_shares[0] * (1.0 - self.outward_shares[1]);
        if draw < stays_in_zone + stays_in_region {
            return Distance::Region;
        }
        Distance::Remote
    }

    /// Returns the share that leaves the region, from 0 to 1.
    pub fn remote_share(&self) -> f64 {
        self.outward_shares[0] * self.outward_shares[1]
    }
}

impl SpillThresholds {
    fn next_share(&self, share: f64, near: Option<f64>, far: Option<f64>) -> f64 {
        let (Some(near), Some(far)) = (near, far) else {
            return share;
        };
        let excess = near - far - self.allowed_difference;
        let step = if near < self.low {
            -MAX_INWARD_STEP
        } else if near < self.high {
            (STEP_GAIN * excess).min(0.0)
        } else {
            STEP_GAIN * excess
        };
        let step = step.clamp(-MAX_INWARD_STEP, MAX_OUTWARD_STEP);
        (share + step).clamp(0.0, MAX_OUTWARD_SHARE)
    }
}
