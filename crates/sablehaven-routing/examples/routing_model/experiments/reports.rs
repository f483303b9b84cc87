//! Load reports that lag, and reports that mislead.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Scenario, Topology, base};
use crate::table::{Spread, Table, cell, per_cent};

/// 30 shards of 6 replicas in two zones, 75% load; reports as old as `lag_ms`; a part of the servers
/// always reports that it has nothing to do.
fn scenario(lag_ms: u64, misleading: f64) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 30,
        replicas_per_zone: 3,
        agents_per_zone: 10,
    };
    let mut scenario = base(topology);
    scenario.servers.straggler_share = 0.01;
    scenario.servers.report_lag = Duration::from_millis(lag_ms);
    scenario.servers.misleading_share = misleading;
    scenario.end = Duration::from_secs(30);
    scenario.changes = vec![(Duration::ZERO, scenario.even_load(0.75))];
    scenario
}

/// Runs the experiment and prints its table.
pub fn run(plan: Plan) {
    let mut table = Table::new(&[
        "report lag ms",
        "misleading %",
        "policy",
        "p50 ms",
        "p99 ms",
        "sheds %",
        "complete answers %",
        "extra %",
    ]);
    for (lag_ms, misleading) in [(0, 0.0), (200, 0.0), (1_000, 0.0), (200, 0.2), (200, 1.0)] {
        for (name, kind) in [
            ("baseline", PolicyKind::BaselineWithRetries),
            ("router", PolicyKind::Router),
        ] {
            if kind == PolicyKind::BaselineWithRetries && lag_ms > 0 {
                continue;
            }
            let runs = over_seeds(plan, kind, |_| scenario(lag_ms, misleading));
            table.row(row(name, lag_ms, misleading, &runs));
        }
    }
    table.print(
        "Reports: 75% load, 1 reply in 100 ten times slower; the baseline takes a random replica, \
         retries without a budget and reads no reports",
    );
}

fn row(name: &str, lag_ms: u64, misleading: f64, runs: &[Measurements]) -> Vec<String> {
    let figure = |of: fn(&Measurements) -> f64| Spread::of(runs.iter().map(of));
    vec![
        lag_ms.to_string(),
        format!("{:.0}", misleading * 100.0),
        name.to_owned(),
        cell(figure(|run| run.latency_ms(0.5)), 0),
        cell(figure(|run| run.latency_ms(0.99)), 0),
        per_cent(figure(Measurements::shed_share), 3),
        per_cent(figure(Measurements::complete_share), 2),
        per_cent(figure(Measurements::extra_load), 2),
    ]
}
