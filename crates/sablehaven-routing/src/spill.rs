//! How much of a shard's work leaves the near replicas when they are pressed.
//!
//! A share moves outward in small steps while the near replicas are pressed, and more so than the
//! farther ones by an allowed difference, and back when the difference is smaller or the near ones
//! have room. Between the two thresholds it moves back only. Each agent and shard takes its steps at moments of its own, so that agents do not swing
//! together.

use std::time::Duration;

use sablehaven_types::{DISTANCES, Distance};

/// Time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the pressure difference beyond the allowed one that a step moves, outward or back.
/// Equal both ways, or the noise of the pressures would drive the share to one end.
const GAIN: f64 = 0.05;
/// Largest step outward.
const MAX_OUTWARD_STEP: f64 = 0.15;
/// Largest step back, and the step while the near replicas have room.
const MAX_INWARD_STEP: f64 = 0.1;
/// Largest share that may leave a distance: the rest keeps showing whether it has room again.
const MAX_OUTWARD: f64 = 0.95;

/// When work crosses the border between one distance and the farther ones.
#[derive(Clone, Copy, Debug)]
struct Border {
    /// Pressure of the near replicas above which work moves outward.
    high: f64,
    /// Pressure of the near replicas below which work moves back.
    low: f64,
    /// The near replicas may be more pressed than the farther ones by this much.
    difference: f64,
}

/// The borders, nearest first: zone to region, region to remote. Another zone is 1 ms away, less
/// than most requests take, so work goes there before requests wait; another region is 10 ms away,
/// so work goes there only once several wait for each slot.
const BORDERS: [Border; DISTANCES.len() - 1] = [
    Border {
        high: 1.0,
        low: 0.7,
        difference: 0.05,
    },
    Border {
        high: 1.5,
        low: 1.0,
        difference: 0.15,
    },
];

/// Pressure of the replicas at each distance, `None` without an available one.
///
/// 1 means that all slots are busy and nothing waits.
pub type Pressures = [Option<f64>; DISTANCES.len()];

/// The shares of one shard's work by distance, in one agent.
#[derive(Clone, Debug)]
pub struct Spill {
    outward: [f64; BORDERS.len()],
    next_step: Duration,
}

impl Spill {
    /// Nothing spills yet; `phase` from 0 to 1 shifts the moments of the steps.
    pub fn new(now: Duration, phase: f64) -> Self {
        Self {
            outward: [0.0; BORDERS.len()],
            next_step: now + STEP_INTERVAL.mul_f64(phase),
        }
    }

    /// Whether a step is due.
    pub fn step_due(&self, now: Duration) -> bool {
        now >= self.next_step
    }

    /// Takes one step; `phase` from 0 to 1 varies the time to the next.
    pub fn step(&mut self, now: Duration, pressures: &Pressures, phase: f64) {
        self.next_step = now + STEP_INTERVAL.mul_f64(0.75 + 0.5 * phase);
        for (index, border) in BORDERS.iter().enumerate() {
            let near = pressures[index];
            let far = pressures[index + 1..].iter().flatten().copied();
            let least_far = far.fold(None, |least: Option<f64>, next| {
                Some(least.map_or(next, |least| least.min(next)))
            });
            self.outward[index] = border.stepped(self.outward[index], near, least_far);
        }
    }

    /// Draws the distance for one attempt; `draw` from 0 to 1.
    pub fn distance(&self, draw: f64) -> Distance {
        let stays_in_zone = 1.0 - self.outward[0];
        if draw < stays_in_zone {
            return Distance::Zone;
        }
        let stays_in_region = self.outward[0] * (1.0 - self.outward[1]);
        if draw < stays_in_zone + stays_in_region {
            return Distance::Region;
        }
        Distance::Remote
    }

    /// The share that leaves the region, from 0 to 1.
    pub fn remote_share(&self) -> f64 {
        self.outward[0] * self.outward[1]
    }
}

impl Border {
    fn stepped(&self, share: f64, near: Option<f64>, far: Option<f64>) -> f64 {
        let (Some(near), Some(far)) = (near, far) else {
            return share;
        };
        let excess = near - far - self.difference;
        let step = if near < self.low {
            -MAX_INWARD_STEP
        } else if near < self.high {
            (GAIN * excess).min(0.0)
        } else {
            GAIN * excess
        };
        let step = step.clamp(-MAX_INWARD_STEP, MAX_OUTWARD_STEP);
        (share + step).clamp(0.0, MAX_OUTWARD)
    }
}
