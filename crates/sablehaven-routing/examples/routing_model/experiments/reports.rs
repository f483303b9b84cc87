//! Measures routing by load reports that are out of date or wrong.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Scenario, Topology, base_scenario};
use crate::table::{Summary, Table, format_percentage, format_summary};

/// 15 shards with 6 replicas each in two zones, at 75% load. Load reports are up to `lag_ms` old,
/// and the share `misleading_share` of the servers always reports that it is idle.
fn scenario(lag_ms: u64, misleading_share: f64) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 15,
        replicas_per_zone: 3,
        agents_per_zone: 10,
    };
    let mut scenario = base_scenario(topology);
    scenario.servers.straggler_share = 0.01;
    scenario.servers.report_lag = Duration::from_millis(lag_ms);
    scenario.servers.misleading_share = misleading_share;
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
    for (lag_ms, misleading_share) in [(0, 0.0), (200, 0.0), (1_000, 0.0), (200, 0.2), (200, 1.0)] {
        for (name, kind) in [
            ("baseline", PolicyKind::BaselineWithRetries),
            ("router", PolicyKind::Router),
        ] {
            if kind == PolicyKind::BaselineWithRetries && lag_ms > 0 {
                continue;
            }
            let runs = over_seeds(plan, kind, |_| scenario(lag_ms, misleading_share));
            table.row(row(name, lag_ms, misleading_share, &runs));
        }
    }
    table.print(
        "Reports: 75% load, 1 reply in 100 ten times slower; the baseline picks a random replica, \
         retries without a budget and ignores load reports",
    );
}

fn row(name: &str, lag_ms: u64, misleading_share: f64, runs: &[Measurements]) -> Vec<String> {
    let summarize = |metric: fn(&Measurements) -> f64| Summary::of(runs.iter().map(metric));
    vec![
        lag_ms.to_string(),
        format!("{:.0}", misleading_share * 100.0),
        name.to_owned(),
        format_summary(summarize(|run| run.latency_ms(0.5)), 0),
        format_summary(summarize(|run| run.latency_ms(0.99)), 0),
        format_percentage(summarize(Measurements::shed_share), 3),
        format_percentage(summarize(Measurements::complete_share), 2),
        format_percentage(summarize(Measurements::extra_load), 2),
    ]
}
