//! The times at which requests are meant to be sent.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::load::LoadShape;

/// A Poisson process whose rate follows a [`LoadShape`], drawn by thinning (Lewis and Shedler 1979).
/// The same seed gives the same times.
#[derive(Debug)]
pub struct Arrivals {
    shape: LoadShape,
    random: Pcg64Mcg,
    now: Duration,
    until: Duration,
}

impl Arrivals {
    /// Arrivals from the start of a run until `until`.
    pub fn new(shape: LoadShape, until: Duration, seed: u64) -> Self {
        Self {
            shape,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Duration::ZERO,
            until,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let highest = self.shape.highest_rate();
        if highest <= 0.0 {
            return None;
        }
        loop {
            let share: f64 = self.random.random_range(f64::EPSILON..1.0);
            self.now += Duration::from_secs_f64(-share.ln() / highest);
            if self.now >= self.until {
                return None;
            }
            let is_kept = self.random.random::<f64>() * highest < self.shape.rate_at(self.now);
            if is_kept {
                return Some(self.now);
            }
        }
    }
}
