//! A zone's agents all coming at once: after their relay died, and as new processes.

use std::time::{Duration, Instant};

use crate::{
    Options,
    fleet::{ControlKind, Fleet, Latencies},
    processor_time,
};

/// Longest that the return may take before it is reported as it is.
const LIMIT: Duration = Duration::from_secs(60);

/// Time after the agents' start before the relay dies.
const WARM_UP: Duration = Duration::from_secs(2);

pub fn measure(options: &Options) {
    println!("\n## A zone's agents all coming at once");
    println!(
        "'start': that many new agents at one relay, each taking the whole state of its service. \
         'relay dies': its agents move to one other relay, each at the newest revision."
    );
    println!(
        "| agents | event | all served after ms | agents that were without a lease | relay processor ms | full updates | relay sent KiB | resident MiB |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for &count in &options.agents {
        let mut fleet = Fleet::start(ControlKind::Double, 2, Latencies::None);
        measure_start(&mut fleet, count);
        std::thread::sleep(WARM_UP);
        measure_death(&mut fleet, count);
        fleet.end();
    }
}

/// Every agent prefers the first relay.
fn measure_start(fleet: &mut Fleet, count: usize) {
    let second = fleet.relays.split_off(1);
    let both: Vec<_> = fleet
        .relays
        .iter()
        .chain(&second)
        .map(|relay| relay.address)
        .collect();
    let started = Instant::now();
    let processor = processor_time::of_threads("relay");
    fleet.grow_agents_at(count, &both);
    fleet.settle();
    let took = started.elapsed();
    fleet.relays.extend(second);
    print(fleet, 0, count, "start", took, 0, &processor);
}

fn measure_death(fleet: &mut Fleet, count: usize) {
    let processor = processor_time::of_threads("relay");
    let dying = fleet.relays.remove(0);
    let died = Instant::now();
    dying.runtime.shutdown_background();
    let metrics = fleet.relays[0].handle.metrics().clone();
    let mut without_lease = vec![false; count];
    let mut took = LIMIT;
    while died.elapsed() < LIMIT {
        for (agent, without) in fleet.agents.iter().zip(&mut without_lease) {
            *without |= !agent.lease().current;
        }
        if metrics.agents.get() as usize == count {
            took = died.elapsed();
            break;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    // Every lease of before the death has run out after this; the agents need the new relay's.
    std::thread::sleep(Duration::from_secs(4));
    for (agent, without) in fleet.agents.iter().zip(&mut without_lease) {
        *without |= !agent.lease().current;
    }
    let without = without_lease.iter().filter(|without| **without).count();
    print(fleet, 0, count, "relay dies", took, without, &processor);
}

fn print(
    fleet: &Fleet,
    relay: usize,
    count: usize,
    event: &str,
    took: Duration,
    without: usize,
    processor_before: &processor_time::Sample,
) {
    let processor = processor_time::of_threads("relay").since(processor_before);
    let metrics = fleet.relays[relay].handle.metrics();
    println!(
        "| {count} | {event} | {:.0} | {without} | {:.0} | {} | {:.0} | {:.0} |",
        took.as_secs_f64() * 1_000.0,
        processor.as_secs_f64() * 1_000.0,
        metrics.sent_full_updates.get(),
        metrics.agent_sent_bytes.get() as f64 / 1024.0,
        processor_time::resident_mib(),
    );
}
