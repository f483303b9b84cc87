//! The figures of one repeat.

use std::time::Duration;

use sablehaven_history::{CallResult, Event, History, MicrosecondsSinceEpoch};
use sablehaven_standins::caller::summarise;
use sablehaven_types::Outcome;
use serde::{Deserialize, Serialize};

use super::{file::Topology, topology::region_of};

/// A region that does less than this share of its mean work has swung away from it.
const SWING_SHARE: f64 = 0.8;

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
    /// Shards answered, as a share of all that the back ends can answer in the time.
    pub share_of_capacity: f64,
    /// The longest time for which a region did less than four fifths of its mean work, in seconds.
    pub longest_swing_s: f64,
    /// Processor time of the agent for each request it sent to a back end, in microseconds.
    pub agent_us_per_request: f64,
    /// Memory of the agent at the end, in megabytes.
    pub agent_megabytes: f64,
}

/// Figures of the calls and executions in a window.
pub fn figures(history: &History, window: Window, topology: &Topology) -> Figures {
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
    let longest_swing_s = longest_swing(&events, window, topology.regions);
    let summary = summarise(&History { events });
    let needed = (queries * u64::from(topology.shards)) as f64;
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
        share_of_capacity: answered as f64 / seconds / capacity(topology),
        longest_swing_s,
        extra_load: beyond(summary.executions_begun),
        extra_requests: beyond(received),
        agent_us_per_request: 0.0,
        agent_megabytes: 0.0,
    }
}

/// Requests that all back ends together can run in a second.
fn capacity(topology: &Topology) -> f64 {
    let servers = f64::from(topology.instances * topology.servers_per_instance);
    servers * f64::from(topology.slots) * 1e6 / topology.service_time_us as f64
}

/// The longest run of seconds in which a region began less than [`SWING_SHARE`] of its mean work.
fn longest_swing(events: &[Event], window: Window, regions: u32) -> f64 {
    const SECOND: u64 = 1_000_000;
    let seconds = ((window.until - window.from) / SECOND) as usize;
    let mut work = vec![vec![0_u64; seconds]; regions as usize];
    for event in events {
        let Event::Execution(execution) = event else {
            continue;
        };
        let second = ((execution.received_at - window.from) / SECOND) as usize;
        let region = region_of(&execution.backend, regions);
        let region = region.and_then(|region| work.get_mut(region as usize));
        if let Some(count) = region.and_then(|region| region.get_mut(second)) {
            *count += u64::from(execution.ran());
        }
    }
    work.iter()
        .map(|region| longest_low(region))
        .max()
        .unwrap_or(0) as f64
}

fn longest_low(work: &[u64]) -> usize {
    let mean = work.iter().sum::<u64>() as f64 / work.len().max(1) as f64;
    let low = work
        .iter()
        .map(|count| (*count as f64) < SWING_SHARE * mean);
    let runs = low.scan(0, |run, is_low| {
        *run = if is_low { *run + 1 } else { 0 };
        Some(*run)
    });
    runs.max().unwrap_or(0)
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
