//! Measures all agents of a zone connecting at once: as new agents, and after their relay stopped.

use std::time::{Duration, Instant};

use crate::{
    Options,
    fleet::{ControlKind, Fleet, Latencies},
    processor_time,
};

/// Maximum time to wait for the agents to reconnect; after that, this value is reported.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between the start of the agents and the stop of the relay.
const WARM_UP: Duration = Duration::from_secs(2);

pub fn measure(options: &Options) {
    println!("\n## All agents of a zone connecting at once");
    println!(
        "'start': new agents connect to one relay and each receives the full state of its service. \
         'relay stops': its agents move to one other relay, each at the newest revision."
    );
    println!(
        "| agents | event | all served after ms | agents that lost their lease | relay CPU ms | full updates | relay sent KiB | resident MiB |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for &count in &options.agents {
        let mut fleet = Fleet::start(ControlKind::Double, 2, Latencies::None);
        measure_start(&mut fleet, count);
        std::thread::sleep(WARM_UP);
        measure_relay_stop(&mut fleet, count);
        fleet.stop();
    }
}

/// Starts the agents. All of them prefer the first relay.
fn measure_start(fleet: &mut Fleet, count: usize) {
    let second = fleet.relays.split_off(1);
    let both: Vec<_> = fleet
        .relays
        .iter()
        .chain(&second)
        .map(|relay| relay.address)
        .collect();
    let started_at = Instant::now();
    let cpu_time = processor_time::sample_threads("relay");
    fleet.grow_agents_at(count, &both);
    fleet.wait_until_up_to_date();
    let elapsed = started_at.elapsed();
    fleet.relays.extend(second);
    print(fleet, 0, count, "start", elapsed, 0, &cpu_time);
}

fn measure_relay_stop(fleet: &mut Fleet, count: usize) {
    let cpu_time = processor_time::sample_threads("relay");
    let stopped = fleet.relays.remove(0);
    let stopped_at = Instant::now();
    stopped.runtime.shutdown_background();
    let metrics = fleet.relays[0].handle.metrics().clone();
    let mut without_lease = vec![false; count];
    let mut elapsed = RECONNECT_TIMEOUT;
    while stopped_at.elapsed() < RECONNECT_TIMEOUT {
        for (agent, was_without) in fleet.agents.iter().zip(&mut without_lease) {
            *was_without |= !agent.lease().current;
        }
        if metrics.agents.get() as usize == count {
            elapsed = stopped_at.elapsed();
            break;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    // After this, every lease from the stopped relay has expired, so the agents need leases from
    // the other relay.
    std::thread::sleep(Duration::from_secs(4));
    for (agent, was_without) in fleet.agents.iter().zip(&mut without_lease) {
        *was_without |= !agent.lease().current;
    }
    let without = without_lease
        .iter()
        .filter(|was_without| **was_without)
        .count();
    print(fleet, 0, count, "relay stops", elapsed, without, &cpu_time);
}

fn print(
    fleet: &Fleet,
    relay: usize,
    count: usize,
    event: &str,
    elapsed: Duration,
    without: usize,
    cpu_before: &processor_time::Sample,
) {
    let cpu_time = processor_time::sample_threads("relay").since(cpu_before);
    let metrics = fleet.relays[relay].handle.metrics();
    println!(
        "| {count} | {event} | {:.0} | {without} | {:.0} | {} | {:.0} | {:.0} |",
        elapsed.as_secs_f64() * 1_000.0,
        cpu_time.as_secs_f64() * 1_000.0,
        metrics.sent_full_updates.get(),
        metrics.agent_sent_bytes.get() as f64 / 1024.0,
        processor_time::resident_mib(),
    );
}
