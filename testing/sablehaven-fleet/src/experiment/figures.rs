//! The figures of one repeat.

use std::time::Duration;

use sablehaven_history::{CallResult, Event, History, MicrosecondsSinceEpoch};
use sablehaven_standins::caller::summarise;
use sablehaven_types::Outcome;
use serde::{Deserialize, Serialize};

/// Who is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Contender {
    /// The plain agent: random replica, no hedging, no retries.
    Baseline,
    /// The product.
    Candidate,
}

/// The time that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its beginning.
    pub from: MicrosecondsSinceEpoch,
    /// Its end.
    pub until: MicrosecondsSinceEpoch,
}

impl Window {
    fn holds(&self, time: MicrosecondsSinceEpoch) -> bool {
        (self.from..self.until).contains(&time)
    }
}

/// The figures of one repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Queries meant to be sent in the window.
    pub queries: f64,
    /// The median latency of those that were answered, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The share of shards that were answered, over all queries; an unanswered query counts as none.
    pub coverage: f64,
    /// Shards answered within the deadline, a second.
    pub goodput: f64,
    /// Executions beyond those that the queries needed, as a share of those needed. Refusals before
    /// the start are no executions.
    pub extra_load: f64,
    /// Requests that back ends received beyond those that the queries needed, as a share of those
    /// needed; refused ones count.
    pub extra_requests: f64,
    /// Processor time of the agent for each request it sent to a back end, in microseconds.
    pub agent_us_per_request: f64,
    /// Memory of the agent at the end, in megabytes.
    pub agent_megabytes: f64,
}

/// Figures of the calls and executions in a window, for queries to `shards` shards.
pub fn figures(history: &History, window: Window, shards: u32) -> Figures {
    let in_window = history.events.iter().filter(|event| match event {
        Event::Call(call) => window.holds(call.intended_at),
        Event::Execution(execution) => window.holds(execution.received_at),
        _ => false,
    });
    let events: Vec<_> = in_window.cloned().collect();
    let (mut queries, mut received, mut answered) = (0_u64, 0_u64, 0_u64);
    for event in &events {
        match event {
            Event::Call(call) => {
                queries += 1;
                answered += answered_shards(&call.result);
            }
            Event::Execution(_) => received += 1,
            _ => {}
        }
    }
    let summary = summarise(&History { events });
    let needed = (queries * u64::from(shards)) as f64;
    let seconds = Duration::from_micros(window.until - window.from).as_secs_f64();
    let beyond = |count: u64| match needed > 0.0 {
        true => (count as f64 - needed).max(0.0) / needed,
        false => 0.0,
    };
    Figures {
        queries: queries as f64,
        p50_ms: summary.latency.p50_ms,
        p99_ms: summary.latency.p99_ms,
        coverage: if needed > 0.0 {
            answered as f64 / needed
        } else {
            1.0
        },
        goodput: answered as f64 / seconds,
        extra_load: beyond(summary.executions_begun),
        extra_requests: beyond(received),
        agent_us_per_request: 0.0,
        agent_megabytes: 0.0,
    }
}

fn answered_shards(result: &CallResult) -> u64 {
    match result {
        CallResult::Answered(answer) if answer.outcome == Outcome::Done => {
            let coverage = answer.coverage.as_ref();
            coverage.map_or(0, |coverage| coverage.answered.len() as u64)
        }
        _ => 0,
    }
}
