//! What one run measures.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Counts of a run after its warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Answers that cover every shard.
    pub complete: u64,
    /// Answers that miss shards.
    pub partial: u64,
    /// Queries refused by admission.
    pub refused: u64,
    /// Sub-requests of admitted queries.
    pub needed: u64,
    /// Sub-requests that were answered.
    pub answered: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Attempts that servers shed.
    pub sheds: u64,
}

/// One second of a run.
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
    /// Time to each answer in microseconds; an answer that misses shards counts as the deadline, so
    /// that giving up early does not look fast.
    pub latency: Histogram<u64>,
    /// Every second, from the start of the run.
    pub seconds: Vec<Second>,
    /// Messages of the shared bucket.
    pub messages: u64,
    /// The most connections that one server had, counting one for each agent that ever used it.
    pub max_agents_per_server: usize,
}

impl Measurements {
    /// Nothing measured yet.
    pub fn new() -> Self {
        Self {
            counts: Counts::default(),
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds"),
            seconds: Vec::new(),
            messages: 0,
            max_agents_per_server: 0,
        }
    }

    /// The second that a time falls in.
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

    /// A quantile of the time to an answer, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Hedges and retries as a share of the needed work.
    pub fn extra_load(&self) -> f64 {
        let extra = self.counts.hedges + self.counts.retries;
        extra as f64 / self.counts.needed.max(1) as f64
    }

    /// Sheds as a share of the needed work.
    pub fn shed_share(&self) -> f64 {
        self.counts.sheds as f64 / self.counts.needed.max(1) as f64
    }

    /// Answered sub-requests as a share of the needed ones.
    pub fn answered_share(&self) -> f64 {
        self.counts.answered as f64 / self.counts.needed.max(1) as f64
    }

    /// Complete answers as a share of all queries that ended.
    pub fn complete_share(&self) -> f64 {
        let ended = self.counts.complete + self.counts.partial + self.counts.refused;
        self.counts.complete as f64 / ended.max(1) as f64
    }

    /// Complete answers as a share of the queries that were not refused.
    pub fn complete_share_of_admitted(&self) -> f64 {
        let admitted = self.counts.complete + self.counts.partial;
        self.counts.complete as f64 / admitted.max(1) as f64
    }

    /// The highest extra load within any run of `window` seconds.
    pub fn worst_extra_load(&self, window: usize) -> f64 {
        self.seconds
            .windows(window)
            .map(|seconds| {
                let extra: u64 = seconds.iter().map(|second| second.extra).sum();
                let needed: u64 = seconds.iter().map(|second| second.needed).sum();
                extra as f64 / needed.max(1) as f64
            })
            .fold(0.0, f64::max)
    }
}
