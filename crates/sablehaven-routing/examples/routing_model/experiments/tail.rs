//! Measures the tail latency with stragglers and stuck replicas at a fan-out of 55 shards.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base_scenario};
use crate::table::{Summary, Table, format_percentage, format_summary, format_verdict};

/// Target: highest ratio of the router's p99 to that of the baseline.
const MAX_P99_RATIO: f64 = 0.4;
/// Target: highest extra load, as a share of the needed sub-requests.
const MAX_EXTRA_LOAD: f64 = 0.05;

/// 55 shards with 4 replicas each in the two zones of one region; 1 reply in 100 takes ten times as
/// long. With `stuck`, one replica of each shard stops replying at 5 s.
fn scenario(utilisation: f64, stuck: bool) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 55,
        replicas_per_zone: 2,
        agents_per_zone: 10,
    };
    let mut scenario = base_scenario(topology);
    scenario.servers.straggler_share = 0.01;
    scenario.end = Duration::from_secs(30);
    let healthy_share = if stuck { 0.75 } else { 1.0 };
    let load = scenario.even_load(utilisation * healthy_share);
    scenario.changes.push((Duration::ZERO, load));
    if stuck {
        let servers = one_of_each_shard(&scenario.topology);
        let change = Change::Behaviour(servers, Behaviour::Stuck);
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
    let holds = ratios.iter().all(|&ratio| ratio <= MAX_P99_RATIO)
        && extra.iter().all(|&extra| extra <= MAX_EXTRA_LOAD);
    vec![
        if stuck { "yes" } else { "no" }.to_owned(),
        format!("{:.0}", utilisation * 100.0),
        format_summary(p99(&baseline), 0),
        format_summary(Summary::of(router.iter().map(|run| run.latency_ms(0.5))), 0),
        format_summary(p99(&router), 0),
        format_summary(Summary::of(ratios), 3),
        format_summary(Summary::of(p99_ratios(&router, &retrying)), 3),
        format_percentage(Summary::of(extra), 2),
        format_percentage(shed_shares(&baseline), 3),
        format_percentage(shed_shares(&router), 3),
        format_percentage(
            Summary::of(router.iter().map(Measurements::complete_share)),
            2,
        ),
        format_verdict(holds),
    ]
}

fn p99_ratios(router: &[Measurements], baseline: &[Measurements]) -> Vec<f64> {
    router
        .iter()
        .zip(baseline)
        .map(|(router, baseline)| router.latency_ms(0.99) / baseline.latency_ms(0.99))
        .collect()
}

fn shed_shares(runs: &[Measurements]) -> Summary {
    Summary::of(runs.iter().map(Measurements::shed_share))
}

fn p99(runs: &[Measurements]) -> Summary {
    Summary::of(runs.iter().map(|run| run.latency_ms(0.99)))
}
