//! How many requests a second a region sends, over the day.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The load of one region. Time counts from the start of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadShape {
    /// The mean over a day, in requests a second.
    pub mean_per_second: f64,
    /// How far the evening peak stands above the mean and the night below it, from 0 (flat) to 1.
    pub daily_swing: f64,
    /// The length of a day, in milliseconds; short ones let a run pass through several.
    pub day_ms: u64,
    /// When the peak comes, in milliseconds from the start of the run. Regions differ in it: the
    /// traffic follows the sun.
    pub peak_at_ms: u64,
    /// An extra load for a while, such as an exam week.
    pub surge: Option<Surge>,
}

impl Default for LoadShape {
    fn default() -> Self {
        Self {
            mean_per_second: 10.0,
            daily_swing: 0.0,
            day_ms: 86_400_000,
            peak_at_ms: 0,
            surge: None,
        }
    }
}

/// A time in which the load is a multiple of the usual one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// When it begins, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start of the run.
    pub until_ms: u64,
    /// The multiple.
    pub factor: f64,
}

impl LoadShape {
    /// The rate at a time, in requests a second.
    pub fn rate_at(&self, time: Duration) -> f64 {
        let time_ms = time.as_secs_f64() * 1_000.0;
        let since_peak = (time_ms - self.peak_at_ms as f64) / self.day_ms.max(1) as f64;
        let daily = 1.0 + self.daily_swing * (std::f64::consts::TAU * since_peak).cos();
        self.mean_per_second * daily * self.surge_factor(time_ms)
    }

    /// No rate is higher than this, in requests a second.
    pub fn highest_rate(&self) -> f64 {
        let surge = self.surge.map_or(1.0, |surge| surge.factor.max(1.0));
        self.mean_per_second * (1.0 + self.daily_swing.abs()) * surge
    }

    fn surge_factor(&self, time_ms: f64) -> f64 {
        match self.surge {
            Some(surge) if (surge.from_ms as f64..surge.until_ms as f64).contains(&time_ms) => {
                surge.factor
            }
            _ => 1.0,
        }
    }
}
