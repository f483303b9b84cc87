//! Time from acceptance to in force at every agent.

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

/// Time between two changes, long enough for one to arrive everywhere before the next.
const PAUSE: Duration = Duration::from_millis(200);

/// When each agent had each version: (version, moment).
type Arrivals = Arc<Mutex<Vec<(u64, Instant)>>>;

pub fn measure(options: &Options) {
    println!("\n## From acceptance to in force at every agent");
    println!(
        "{}, {} relays, {} changes a point, {}; milliseconds",
        match options.control {
            ControlKind::Double => "control double",
            ControlKind::Real => "three real control replicas in three regions",
        },
        options.relays,
        options.changes,
        match options.latencies {
            Latencies::Brief => "latencies of the brief",
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
    fleet.settle();
    let arrivals: Arrivals = Arc::default();
    for agent in &fleet.agents {
        let watching = watch(agent.clone(), arrivals.clone());
        fleet.agent_runtime.spawn(watching);
    }
    let mut last_of_change = Vec::new();
    let mut all = Vec::new();
    for number in 0..options.changes {
        std::thread::sleep(PAUSE);
        arrivals.lock().expect("arrivals").clear();
        let commit = fleet.commit(number);
        let times = wait_for_all(&arrivals, &commit, count);
        last_of_change.push(times.iter().copied().fold(0.0, f64::max));
        all.extend(times);
    }
    fleet.end();
    all.sort_by(f64::total_cmp);
    last_of_change.sort_by(f64::total_cmp);
    let last = quantile(&last_of_change, 0.5);
    println!(
        "| {count} | {:.2} | {:.2} | {last:.2} | {:.2} |",
        quantile(&all, 0.5),
        quantile(&all, 0.99),
        quantile(&last_of_change, 1.0),
    );
    last
}

async fn watch(agent: Subscription, arrivals: Arrivals) {
    let mut changed = agent.changed();
    while changed.changed().await.is_ok() {
        let arrived = (agent.view().configuration_version, Instant::now());
        arrivals.lock().expect("arrivals").push(arrived);
    }
}

/// Milliseconds from acceptance to each agent's arrival; 0 for an agent that had the change before
/// the operator had the answer.
fn wait_for_all(arrivals: &Arrivals, commit: &Commit, count: usize) -> Vec<f64> {
    loop {
        std::thread::sleep(Duration::from_millis(1));
        let arrivals = arrivals.lock().expect("arrivals");
        let arrived = arrivals.iter().filter(|(at, _)| *at == commit.version);
        let since = |moment: &Instant| moment.saturating_duration_since(commit.accepted);
        let times: Vec<f64> = arrived
            .map(|(_, moment)| since(moment).as_secs_f64() * 1_000.0)
            .collect();
        if times.len() >= count {
            return times;
        }
    }
}

/// The quantile of ascending values; not a number of nothing.
fn quantile(ascending: &[f64], share: f64) -> f64 {
    statistics::quantile(ascending, share).unwrap_or(f64::NAN)
}
