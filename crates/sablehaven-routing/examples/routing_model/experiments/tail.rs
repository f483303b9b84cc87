//! Stragglers and stuck replicas under a fan-out of 55 shards.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base};
use crate::table::{Spread, Table, cell, per_cent, verdict};

/// The target: p99 against the baseline's.
const MAX_RATIO: f64 = 0.4;
/// The target: extra load.
const MAX_EXTRA: f64 = 0.05;

/// 55 shards of 4 replicas in the two zones of one region; 1 reply in 100 takes ten times longer.
fn scenario(utilisation: f64, stuck: bool) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 55,
        replicas_per_zone: 2,
        agents_per_zone: 10,
    };
    let mut scenario = base(topology);
    scenario.servers.straggler_share = 0.01;
    scenario.end = Duration::from_secs(30);
    let working = if stuck { 0.75 } else { 1.0 };
    let load = scenario.even_load(utilisation * working);
    scenario.changes.push((Duration::ZERO, load));
    if stuck {
        let servers = one_of_each_shard(&scenario.topology);
        let change = Change::Behave(servers, Behaviour::Stuck);
        scenario.changes.push((Duration::from_secs(5), change));
    }
    scenario
}

fn one_of_each_shard(topology: &Topology) -> Vec<usize> {
    (0..topology.shards)
        .map(|shard| {
            let servers = topology.servers_of(shard);
            servers.start + shard % servers.len()
        })
        .collect()
}

/// Runs the experiment and prints its table.
pub fn run(plan: Plan) {
    let mut table = Table::new(&[
        "stuck",
        "load %",
        "baseline p99 ms",
        "router p50 ms",
        "router p99 ms",
        "p99 ratio",
        "ratio, baseline retries",
        "extra %",
        "baseline sheds %",
        "router sheds %",
        "complete %",
        "targets",
    ]);
    for stuck in [true, false] {
        for utilisation in [0.3, 0.7, 0.8] {
            table.row(row(plan, utilisation, stuck));
        }
    }
    table.print(
        "Tail: 55 shards of 4 replicas, 1 reply in 100 ten times slower, one replica of each shard \
         stuck or not; load as a share of the replicas that work (targets: p99 ratio at most 0.4, extra load \
         at most 5%)",
    );
}

fn row(plan: Plan, utilisation: f64, stuck: bool) -> Vec<String> {
    let baseline = over_seeds(plan, PolicyKind::Baseline, |_| scenario(utilisation, stuck));
    let retrying = over_seeds(plan, PolicyKind::BaselineWithRetries, |_| {
        scenario(utilisation, stuck)
    });
    let router = over_seeds(plan, PolicyKind::Router, |_| scenario(utilisation, stuck));
    let ratios = p99_ratios(&router, &baseline);
    let extra: Vec<f64> = router.iter().map(Measurements::extra_load).collect();
    let holds = ratios.iter().all(|&ratio| ratio <= MAX_RATIO)
        && extra.iter().all(|&extra| extra <= MAX_EXTRA);
    vec![
        if stuck { "yes" } else { "no" }.to_owned(),
        format!("{:.0}", utilisation * 100.0),
        cell(p99(&baseline), 0),
        cell(Spread::of(router.iter().map(|run| run.latency_ms(0.5))), 0),
        cell(p99(&router), 0),
        cell(Spread::of(ratios), 3),
        cell(Spread::of(p99_ratios(&router, &retrying)), 3),
        per_cent(Spread::of(extra), 2),
        per_cent(sheds(&baseline), 3),
        per_cent(sheds(&router), 3),
        per_cent(
            Spread::of(router.iter().map(Measurements::complete_share)),
            2,
        ),
        verdict(holds),
    ]
}

fn p99_ratios(router: &[Measurements], baseline: &[Measurements]) -> Vec<f64> {
    router
        .iter()
        .zip(baseline)
        .map(|(router, baseline)| router.latency_ms(0.99) / baseline.latency_ms(0.99))
        .collect()
}

fn sheds(runs: &[Measurements]) -> Spread {
    Spread::of(runs.iter().map(Measurements::shed_share))
}

fn p99(runs: &[Measurements]) -> Spread {
    Spread::of(runs.iter().map(|run| run.latency_ms(0.99)))
}
