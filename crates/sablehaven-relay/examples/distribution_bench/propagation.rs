//! Measures the time from the acceptance of a change until it is in force at every agent.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use sablehaven_subscription::Subscription;

use sablehaven_measurements::statistics;

use crate::{
    Options,
    control_side::Commit,
    fit,
    fleet::{ControlKind, Fleet, Latencies},
};

/// Delay between two changes, long enough for one to reach every agent before the next.
const CHANGE_DELAY: Duration = Duration::from_millis(200);

/// The configuration version and the time of each update that an agent received.
type Arrivals = Arc<Mutex<Vec<(u64, Instant)>>>;

pub fn measure(options: &Options) {
    println!("\n## From acceptance to in force at every agent");
    println!(
        "{}, {} relays, {} changes per row, {}; milliseconds",
        match options.control {
            ControlKind::Double => "control double",
            ControlKind::Real => "three real control replicas in three regions",
        },
        options.relays,
        options.changes,
        match options.latencies {
            Latencies::Required => "required latencies",
            Latencies::None => "no added latencies",
        }
    );
    println!("| agents | agent p50 | agent p99 | last agent p50 | last agent max |");
    println!("|---|---|---|---|---|");
    let mut points = Vec::new();
    for &count in &options.agents {
        let last = measure_point(options, count);
        points.push((count as f64, last));
    }
    fit::print("last agent p50", "ms", &points);
}

fn measure_point(options: &Options, count: usize) -> f64 {
    let mut fleet = Fleet::start(options.control, options.relays, options.latencies);
    fleet.grow_agents(count);
    fleet.wait_until_up_to_date();
    let arrivals: Arrivals = Arc::default();
    for agent in &fleet.agents {
        let task = record_arrivals(agent.clone(), arrivals.clone());
        fleet.agent_runtime.spawn(task);
    }
    let mut last_arrivals = Vec::new();
    let mut all = Vec::new();
    for number in 0..options.changes {
        std::thread::sleep(CHANGE_DELAY);
        arrivals.lock().expect("arrivals lock").clear();
        let commit = fleet.commit(number);
        let times = wait_for_all(&arrivals, &commit, count);
        last_arrivals.push(times.iter().copied().fold(0.0, f64::max));
        all.extend(times);
    }
    fleet.stop();
    all.sort_by(f64::total_cmp);
    last_arrivals.sort_by(f64::total_cmp);
    let last = quantile(&last_arrivals, 0.5);
    println!(
        "| {count} | {:.2} | {:.2} | {last:.2} | {:.2} |",
        quantile(&all, 0.5),
        quantile(&all, 0.99),
        quantile(&last_arrivals, 1.0),
    );
    last
}

async fn record_arrivals(agent: Subscription, arrivals: Arrivals) {
    let mut changed = agent.changed();
    while changed.changed().await.is_ok() {
        let arrived = (agent.view().configuration_version, Instant::now());
        arrivals.lock().expect("arrivals lock").push(arrived);
    }
}

/// Waits until all agents have the change and returns the milliseconds from its acceptance to each
/// arrival. The value is 0 for an agent that had the change before the operator had the reply.
fn wait_for_all(arrivals: &Arrivals, commit: &Commit, count: usize) -> Vec<f64> {
    loop {
        std::thread::sleep(Duration::from_millis(1));
        let arrivals = arrivals.lock().expect("arrivals lock");
        let arrived = arrivals
            .iter()
            .filter(|(version, _)| *version == commit.version);
        let since = |moment: &Instant| moment.saturating_duration_since(commit.accepted_at);
        let times: Vec<f64> = arrived
            .map(|(_, moment)| since(moment).as_secs_f64() * 1_000.0)
            .collect();
        if times.len() >= count {
            return times;
        }
    }
}

/// Returns a quantile of ascending values, or NaN if there are none.
fn quantile(ascending: &[f64], share: f64) -> f64 {
    statistics::quantile(ascending, share).unwrap_or(f64::NAN)
}
