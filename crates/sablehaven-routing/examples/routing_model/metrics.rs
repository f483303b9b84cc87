//! The measurements of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Counters of a run, without its warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Queries whose answer covers every shard.
    pub complete: u64,
    /// Queries whose answer lacks at least one shard.
    pub partial: u64,
    /// Queries refused by admission control.
    pub refused: u64,
    /// Sub-requests of admitted queries.
    pub needed: u64,
    /// Sub-requests that were answered.
    pub answered: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// Retried attempts.
    pub retries: u64,
    /// Attempts that servers shed.
    pub sheds: u64,
}

/// Measurements of one second of a run.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Sub-requests that servers finished, by region of the server.
    pub served: Vec<u64>,
    /// Complete answers, by region of the agent.
    pub complete: Vec<u64>,
    /// Queries, by region of the agent.
    pub queries: Vec<u64>,
    /// Extra attempts.
    pub extra: u64,
    /// Needed sub-requests.
    pub needed: u64,
}

/// The measurements of one run.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Counts after the warm-up.
    pub counts: Counts,
    /// Latency of each answer in microseconds. An answer that lacks shards is recorded with the
    /// full deadline, so that giving up early does not count as fast.
    pub latency: Histogram<u64>,
    /// Measurements per second, from the start of the run.
    pub seconds: Vec<Second>,
    /// Messages exchanged with the shared bucket.
    pub messages: u64,
    /// The highest number of agents that ever sent a request to the same server; each counts as
    /// one connection.
    pub max_agents_per_server: usize,
}

impl Measurements {
    /// Creates empty measurements.
    pub fn new() -> Self {
        Self {
            counts: Counts::default(),
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds"),
            seconds: Vec::new(),
            messages: 0,
            max_agents_per_server: 0,
        }
    }

    /// Returns the entry of the second that contains `now`.
    pub fn second(&mut self, now: Duration, regions: usize) -> &mut Second {
        let index = now.as_secs() as usize;
        while self.seconds.len() <= index {
            self.seconds.push(Second {
                served: vec![0; regions],
                complete: vec![0; regions],
                queries: vec![0; regions],
                extra: 0,
                needed: 0,
            });
        }
        &mut self.seconds[index]
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the hedges and retries as a share of the needed sub-requests.
    pub fn extra_load(&self) -> f64 {
        let extra = self.counts.hedges + self.counts.retries;
        extra as f64 / self.counts.needed.max(1) as f64
    }

    /// Returns the shed attempts as a share of the needed sub-requests.
    pub fn shed_share(&self) -> f64 {
        self.counts.sheds as f64 / self.counts.needed.max(1) as f64
    }

    /// Returns the answered sub-requests as a share of the needed ones.
    pub fn answered_share(&self) -> f64 {
        self.counts.answered as f64 / self.counts.needed.max(1) as f64
    }

    /// Returns the complete answers as a share of all finished queries.
    pub fn complete_share(&self) -> f64 {
        let ended = self.counts.complete + self.counts.partial + self.counts.refused;
        self.counts.complete as f64 / ended.max(1) as f64
    }

    /// Returns the complete answers as a share of the queries that were not refused.
    pub fn complete_share_of_admitted(&self) -> f64 {
        let admitted = self.counts.complete + self.counts.partial;
        self.counts.complete as f64 / admitted.max(1) as f64
    }

    /// Returns the highest extra load in any `window_seconds` consecutive seconds.
    pub fn worst_extra_load(&self, window_seconds: usize) -> f64 {
        self.seconds
            .windows(window_seconds)
            .map(|seconds| {
                let extra: u64 = seconds.iter().map(|second| second.extra).sum();
                let needed: u64 = seconds.iter().map(|second| second.needed).sum();
                extra as f64 / needed.max(1) as f64
            })
            .fold(0.0, f64::max)
    }
}
