//! Figures of a run, from its history.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use sablehaven_history::{CallAnswer, CallRecord, CallResult, Event, History};
use sablehaven_types::Outcome;
use serde::{Deserialize, Serialize};

/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Latencies from the intended sending to the whole answer, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Calls counted.
    pub calls: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The largest.
    pub maximum_ms: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Calls.
    pub calls: u64,
    /// Calls by outcome: `done`, `not_run`, `unknown`, `not_connected`, `broken`.
    pub outcomes: BTreeMap<String, u64>,
    /// Latencies of calls that came back done, by method.
    pub latency_by_method: BTreeMap<String, LatencySummary>,
    /// Latencies of all calls that came back done.
    pub latency: LatencySummary,
    /// Shards asked for by queries that came back done.
    pub shards_asked: u64,
    /// Those that were answered.
    pub shards_answered: u64,
    /// Executions that began on back ends, whoever needed them.
    pub executions_begun: u64,
    /// Executions that the calls needed: one a shard of each query, one for any other call that ran.
    pub executions_needed: u64,
}

impl RunSummary {
    /// The share of shards that were answered, from 0 to 1; 1 if none was asked for.
    pub fn coverage(&self) -> f64 {
        match self.shards_asked {
            0 => 1.0,
            asked => self.shards_answered as f64 / asked as f64,
        }
    }

    /// Executions beyond those needed, as a share of those needed.
    pub fn extra_load(&self) -> f64 {
        match self.executions_needed {
            0 => 0.0,
            needed => self.executions_begun.saturating_sub(needed) as f64 / needed as f64,
        }
    }
}

/// Sums a history up.
pub fn summarise(history: &History) -> RunSummary {
    let mut summary = RunSummary::default();
    let mut latencies = Latencies::default();
    for event in &history.events {
        match event {
            Event::Call(call) => summary.add_call(call, &mut latencies),
            Event::Execution(execution) => summary.executions_begun += u64::from(execution.ran()),
            _ => {}
        }
    }
    summary.latency = latencies.all.as_ref().map(figures).unwrap_or_default();
    let by_method = latencies.by_method.iter();
    summary.latency_by_method = by_method
        .map(|(method, histogram)| (method.clone(), figures(histogram)))
        .collect();
    summary
}

#[derive(Default)]
struct Latencies {
    all: Option<Histogram<u64>>,
    by_method: BTreeMap<String, Histogram<u64>>,
}

impl RunSummary {
    fn add_call(&mut self, call: &CallRecord, latencies: &mut Latencies) {
        self.calls += 1;
        *self.outcomes.entry(outcome(call).to_owned()).or_default() += 1;
        let CallResult::Answered(answer) = &call.result else {
            return;
        };
        self.add_work(answer);
        if answer.outcome != Outcome::Done {
            return;
        }
        let latency = call.finished_at.saturating_sub(call.intended_at);
        let all = latencies.all.get_or_insert_with(histogram);
        all.saturating_record(latency.max(1));
        let name = format!("{}/{}", call.service, call.method);
        let by_method = latencies.by_method.entry(name).or_insert_with(histogram);
        by_method.saturating_record(latency.max(1));
    }

    fn add_work(&mut self, answer: &CallAnswer) {
        match &answer.coverage {
            Some(coverage) if answer.outcome == Outcome::Done => {
                self.shards_asked += coverage.shard_count() as u64;
                self.shards_answered += coverage.answered.len() as u64;
                self.executions_needed += coverage.shard_count() as u64;
            }
            Some(coverage) => self.executions_needed += coverage.shard_count() as u64,
            None if answer.outcome != Outcome::NotRun => self.executions_needed += 1,
            None => {}
        }
    }
}

fn outcome(call: &CallRecord) -> &'static str {
    match &call.result {
        CallResult::Answered(answer) => match answer.outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        },
        CallResult::NotConnected { .. } => "not_connected",
        CallResult::Broken { .. } => "broken",
    }
}

fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    // The bounds are constants within what the library allows.
    Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS).expect("valid bounds")
}

fn figures(histogram: &Histogram<u64>) -> LatencySummary {
    let milliseconds = |microseconds: u64| microseconds as f64 / 1_000.0;
    let quantile = |share| milliseconds(histogram.value_at_quantile(share));
    LatencySummary {
        calls: histogram.len(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        p999_ms: quantile(0.999),
        maximum_ms: milliseconds(histogram.max()),
    }
}
