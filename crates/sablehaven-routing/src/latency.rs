//! Distribution of observed latencies over a moving window.

use std::time::Duration;

use hdrhistogram::Histogram;

use sablehaven_types::{DISTANCES, Distance};

/// Largest latency that the histograms distinguish; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits kept of each latency.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Length of a window. Samples of the current and the previous window are used.
const WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 100;
/// Time for which a computed quantile is reused.
const QUANTILE_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Histograms of the current and the previous window.
#[derive(Clone, Debug)]
struct RotatingHistogram {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl RotatingHistogram {
    fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the constant bounds are valid");
        Self {
            current: empty.clone(),
            previous: empty,
        }
    }

    fn record(&mut self, latency: Duration) {
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(microseconds.max(1));
    }

    fn rotate(&mut self) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
    }

    fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        let mut merged = self.current.clone();
        merged
            .add(&self.previous)
            .expect("both windows have the same bounds");
        Some(Duration::from_micros(merged.value_at_quantile(quantile)))
    }
}

/// Latencies of one service's attempts, by distance.
///
/// A cancelled attempt is recorded with the time it had taken so far. It would have taken longer,
/// so leaving it out would make the quantiles too short and cause too many hedges.
#[derive(Clone, Debug)]
pub struct LatencyDistribution {
    by_distance: [RotatingHistogram; DISTANCES.len()],
    average_seconds: [f64; DISTANCES.len()],
    quantile: f64,
    quantiles: [Option<Duration>; DISTANCES.len()],
    rotated_at: Duration,
    refreshed_at: Option<Duration>,
}

/// Weight of a new latency in the moving average.
const AVERAGE_SAMPLE_WEIGHT: f64 = 0.01;

impl LatencyDistribution {
    /// Creates an empty distribution that computes the given quantile (0 to 1).
    pub fn new(quantile: f64) -> Self {
        Self {
            by_distance: std::array::from_fn(|_| RotatingHistogram::new()),
            average_seconds: [0.0; DISTANCES.len()],
            quantile,
            quantiles: [None; DISTANCES.len()],
            rotated_at: Duration::ZERO,
            refreshed_at: None,
        }
    }

    /// Changes the quantile (0 to 1).
    pub fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.refreshed_at = None;
    }

    /// Records the latency of one attempt.
    pub fn record(&mut self, now: Duration, distance: Distance, latency: Duration) {
        if now.saturating_sub(self.rotated_at) >= WINDOW {
            self.by_distance
                .iter_mut()
                .for_each(RotatingHistogram::rotate);
            self.rotated_at = now;
        }
        self.by_distance[distance.index()].record(latency);
        let average = &mut self.average_seconds[distance.index()];
        if *average == 0.0 {
            *average = latency.as_secs_f64();
        } else {
            *average += AVERAGE_SAMPLE_WEIGHT * (latency.as_secs_f64() - *average);
        }
        self.refresh_if_due(now);
    }

    fn refresh_if_due(&mut self, now: Duration) {
        let is_due = self
            .refreshed_at
            .is_none_or(|at| now.saturating_sub(at) >= QUANTILE_REFRESH_INTERVAL);
        if !is_due {
            return;
        }
        for distance in DISTANCES {
            self.quantiles[distance.index()] =
                self.by_distance[distance.index()].quantile(self.quantile);
        }
        let any_known = self.quantiles.iter().any(Option::is_some);
        self.refreshed_at = any_known.then_some(now);
    }

    /// Returns the moving average at a distance, or 0 before the first latency.
    pub fn average_seconds(&self, distance: Distance) -> f64 {
        self.average_seconds[distance.index()]
    }

    /// Returns the quantile at a distance, else at the nearest farther distance with a known one,
    /// else at the nearest closer one. Returns `None` while there are too few samples at every
    /// distance.
    pub fn quantile(&self, distance: Distance) -> Option<Duration> {
        let at_or_beyond = self.quantiles[distance.index()..].iter().flatten().next();
        at_or_beyond
            .or_else(|| self.quantiles[..distance.index()].iter().flatten().last())
            .copied()
    }
}
