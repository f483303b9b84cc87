//! Measures the bytes and CPU time per agent, idle and during configuration changes.

use std::time::{Duration, Instant};

use crate::{
    Options, fit,
    fleet::{ControlKind, Fleet, Latencies},
    processor_time,
};

/// Time between two changes at 32,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_700);

/// Delay between the start of the agents and the first phase.
const WARM_UP: Duration = Duration::from_secs(3);

/// Name prefixes of the thread groups.
const THREAD_GROUPS: [&str; 3] = ["control", "relay", "agent"];

/// Counters at one point in time.
struct Sample {
    taken_at: Instant,
    cpu_time: [processor_time::Sample; 3],
    agent_received: u64,
    agent_sent: u64,
    control_bytes: u64,
}

pub fn measure(options: &Options) {
    println!("\n## Each agent idle and with one change every 2.7 s");
    println!(
        "{} relays, {} s per phase, no added latencies. Bytes are those of the frames; CPU time \
         in percent of a core. 'Relay' is the sum over all relays.",
        options.relays, options.seconds
    );
    println!(
        "| agents | phase | received B/s | sent B/s | agent % | relay % | relay % per agent | control link B/s | control % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut idle = Vec::new();
    let mut with_changes = Vec::new();
    let mut control_link = Vec::new();
    for &count in &options.agents {
        let mut fleet = Fleet::start(ControlKind::Double, options.relays, Latencies::None);
        fleet.grow_agents(count);
        fleet.wait_until_up_to_date();
        std::thread::sleep(WARM_UP);
        let duration = Duration::from_secs(options.seconds);
        let before = sample(&fleet);
        std::thread::sleep(duration);
        let after_idle = sample(&fleet);
        let row = print(count, "rest", &before, &after_idle);
        idle.push((count as f64, row.relay_percent));
        let before = sample(&fleet);
        commit_changes_for(&fleet, duration);
        let after_changes = sample(&fleet);
        let row = print(count, "change", &before, &after_changes);
        with_changes.push((count as f64, row.relay_percent));
        control_link.push((count as f64, row.control_link));
        fleet.stop();
    }
    fit::print("idle relay", "% of a core", &idle);
    fit::print("relay with changes", "% of a core", &with_changes);
    fit::print("control link with changes", "B/s", &control_link);
}

fn commit_changes_for(fleet: &Fleet, duration: Duration) {
    let end = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() + CHANGE_INTERVAL <= end {
        fleet.commit(number);
        number += 1;
        std::thread::sleep(CHANGE_INTERVAL);
    }
}

fn sample(fleet: &Fleet) -> Sample {
    let agents = fleet.agents.iter().map(|agent| agent.metrics());
    let (received, sent) = agents.fold((0, 0), |(received, sent), metrics| {
        (
            received + metrics.received_bytes.get(),
            sent + metrics.sent_bytes.get(),
        )
    });
    let relays = fleet.relays.iter().map(|relay| relay.handle.metrics());
    let control_bytes = relays
        .map(|metrics| metrics.control_sent_bytes.get() + metrics.control_received_bytes.get())
        .sum();
    Sample {
        taken_at: Instant::now(),
        cpu_time: THREAD_GROUPS.map(processor_time::sample_threads),
        agent_received: received,
        agent_sent: sent,
        control_bytes,
    }
}

struct Row {
    relay_percent: f64,
    control_link: f64,
}

fn print(count: usize, phase: &str, before: &Sample, after: &Sample) -> Row {
    let seconds = (after.taken_at - before.taken_at).as_secs_f64();
    let agents = count as f64;
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let percent = |group: usize| {
        let used = after.cpu_time[group].since(&before.cpu_time[group]);
        100.0 * used.as_secs_f64() / seconds
    };
    let received = rate(before.agent_received, after.agent_received) / agents;
    let sent = rate(before.agent_sent, after.agent_sent) / agents;
    let control_link = rate(before.control_bytes, after.control_bytes);
    let (control, relay, agent) = (percent(0), percent(1), percent(2) / agents);
    println!(
        "| {count} | {phase} | {received:.1} | {sent:.1} | {agent:.4} | {relay:.3} | {:.5} | {control_link:.0} | {control:.3} |",
        relay / agents,
    );
    Row {
        relay_percent: relay,
        control_link,
    }
}
