//! A third of the back ends starts cold.

use std::time::Duration;

use sablehaven_types::BackendState;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base};
use crate::table::{Spread, Table, cell, per_cent};

/// How much slower a back end is at first.
const COLD_FACTOR: f64 = 5.0;
/// Requests until a back end is warm.
const COLD_REQUESTS: u32 = 500;

/// 30 shards of 6 replicas in two zones; 2 of each shard join at 15 s, cold. `slow_start_ms` is the
/// ramp of the router.
fn scenario(slow_start_ms: u64) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 30,
        replicas_per_zone: 3,
        agents_per_zone: 10,
    };
    let mut scenario = base(topology);
    scenario.settings.slow_start_ms = slow_start_ms;
    scenario.warm_up = Duration::from_secs(15);
    scenario.end = Duration::from_secs(45);
    let newcomers: Vec<usize> = (0..scenario.topology.servers())
        .filter(|server| server % scenario.topology.replicas_per_zone == 0)
        .collect();
    let cold = Behaviour::Cold {
        factor: COLD_FACTOR,
        requests: COLD_REQUESTS,
    };
    scenario.absent.clone_from(&newcomers);
    scenario.changes = vec![
        (Duration::ZERO, scenario.even_load(0.4)),
        (
            Duration::from_secs(14),
            Change::Behave(newcomers.clone(), cold),
        ),
        (
            Duration::from_secs(15),
            Change::Publish(newcomers, BackendState::Live),
        ),
    ];
    scenario
}

/// Runs the experiment and prints its table.
pub fn run(plan: Plan) {
    let mut table = Table::new(&[
        "policy",
        "p50 ms",
        "p99 ms",
        "p99 ratio",
        "complete answers %",
        "extra %",
    ]);
    let baseline = over_seeds(plan, PolicyKind::Baseline, |_| scenario(1));
    for (name, kind, slow_start_ms) in [
        ("baseline", PolicyKind::Baseline, 1),
        ("router without slow start", PolicyKind::Router, 1),
        ("router", PolicyKind::Router, 10_000),
    ] {
        let runs = over_seeds(plan, kind, |_| scenario(slow_start_ms));
        let ratios = runs
            .iter()
            .zip(&baseline)
            .map(|(run, baseline)| run.latency_ms(0.99) / baseline.latency_ms(0.99));
        table.row(vec![
            name.to_owned(),
            cell(Spread::of(runs.iter().map(|run| run.latency_ms(0.5))), 0),
            cell(Spread::of(runs.iter().map(|run| run.latency_ms(0.99))), 0),
            cell(Spread::of(ratios), 3),
            per_cent(Spread::of(runs.iter().map(Measurements::complete_share)), 2),
            per_cent(Spread::of(runs.iter().map(Measurements::extra_load)), 2),
        ]);
    }
    table.print(
        "Cold start: a third of the back ends joins 5 times slower, until each has run 500 requests; \
         60% load on the others before",
    );
}
