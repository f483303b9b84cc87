//! Bytes and processor time of each agent, at rest and under change.

use std::time::{Duration, Instant};

use crate::{
    Options, fit,
    fleet::{ControlKind, Fleet, Latencies},
    processor_time,
};

/// Time between two changes at 32,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_700);

/// Time after the agents' start before a phase begins.
const WARM_UP: Duration = Duration::from_secs(3);

/// Names of the groups of threads.
const GROUPS: [&str; 3] = ["control", "relay", "agent"];

/// Counters at one moment.
struct Sample {
    moment: Instant,
    processor: [processor_time::Sample; 3],
    agent_received: u64,
    agent_sent: u64,
    control_bytes: u64,
}

pub fn measure(options: &Options) {
    println!("\n## Each agent at rest and at one change every 2.7 s");
    println!(
        "{} relays, {} s a phase, no added latencies. Bytes are those of the frames; processor \
         time in percent of a core. 'Relay' is of all relays together.",
        options.relays, options.seconds
    );
    println!(
        "| agents | phase | received B/s | sent B/s | agent % | relay % | relay % an agent | control link B/s | control % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut at_rest = Vec::new();
    let mut changing = Vec::new();
    let mut control_link = Vec::new();
    for &count in &options.agents {
        let mut fleet = Fleet::start(ControlKind::Double, options.relays, Latencies::None);
        fleet.grow_agents(count);
        fleet.settle();
        std::thread::sleep(WARM_UP);
        let length = Duration::from_secs(options.seconds);
        let before = sample(&fleet);
        std::thread::sleep(length);
        let rested = sample(&fleet);
        let row = print(count, "rest", &before, &rested);
        at_rest.push((count as f64, row.relay_percent));
        let before = sample(&fleet);
        change_for(&fleet, length);
        let changed = sample(&fleet);
        let row = print(count, "change", &before, &changed);
        changing.push((count as f64, row.relay_percent));
        control_link.push((count as f64, row.control_link));
        fleet.end();
    }
    fit::print("relay at rest", "% of a core", &at_rest);
    fit::print("relay under change", "% of a core", &changing);
    fit::print("control link under change", "B/s", &control_link);
}

fn change_for(fleet: &Fleet, length: Duration) {
    let end = Instant::now() + length;
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
        moment: Instant::now(),
        processor: GROUPS.map(processor_time::of_threads),
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
    let seconds = (after.moment - before.moment).as_secs_f64();
    let agents = count as f64;
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let percent = |group: usize| {
        let used = after.processor[group].since(&before.processor[group]);
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
