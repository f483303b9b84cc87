//! Measures the latency while a third of the back ends joins cold, that is, slower at first.

use std::time::Duration;

use sablehaven_types::BackendState;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base_scenario};
use crate::table::{Summary, Table, format_percentage, format_summary};

/// Factor by which a cold back end is slower at first.
const COLD_FACTOR: f64 = 5.0;
/// Requests after which a back end is warm.
const COLD_REQUESTS: u32 = 500;

/// 15 shards with 6 replicas each in two zones; 2 replicas of each shard join cold at 15 s.
/// `slow_start_ms` is the duration of the router's slow start.
fn scenario(slow_start_ms: u64) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 15,
        replicas_per_zone: 3,
        agents_per_zone: 10,
    };
    let mut scenario = base_scenario(topology);
    scenario.settings.slow_start_ms = slow_start_ms;
    scenario.warm_up = Duration::from_secs(15);
    scenario.end = Duration::from_secs(45);
    let joining: Vec<usize> = (0..scenario.topology.servers())
        .filter(|server| server % scenario.topology.replicas_per_zone == 0)
        .collect();
    let cold = Behaviour::Cold {
        factor: COLD_FACTOR,
        requests: COLD_REQUESTS,
    };
    scenario.absent.clone_from(&joining);
    scenario.changes = vec![
        (Duration::ZERO, scenario.even_load(0.4)),
        (
            Duration::from_secs(14),
            Change::Behaviour(joining.clone(), cold),
        ),
        (
            Duration::from_secs(15),
            Change::PublishedState(joining, BackendState::Live),
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
            format_summary(Summary::of(runs.iter().map(|run| run.latency_ms(0.5))), 0),
            format_summary(Summary::of(runs.iter().map(|run| run.latency_ms(0.99))), 0),
            format_summary(Summary::of(ratios), 3),
            format_percentage(
                Summary::of(runs.iter().map(Measurements::complete_share)),
                2,
            ),
            format_percentage(Summary::of(runs.iter().map(Measurements::extra_load)), 2),
        ]);
    }
    table.print(
        "Cold start: a third of the back ends joins 5 times slower, until each has run 500 requests; \
         60% load on the others before they join",
    );
}
