//! Two of five replicas shed requests for a reason that is independent of their load.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base_scenario};
use crate::table::{Summary, Table, format_percentage, format_summary, format_verdict};

/// Budget for the extra load, as a share of the needed sub-requests.
const EXTRA_LOAD_BUDGET: f64 = 0.05;
/// When the servers start to shed.
const SHEDDING_START: Duration = Duration::from_secs(15);
/// Window over which the extra load is compared with the budget.
const WINDOW_SECONDS: usize = 1;

/// 20 shards with 10 replicas each in two zones. In each shard, 4 replicas chosen by the seed shed
/// the share `shed_share` of their requests from 15 s to 35 s. `utilisation` is that of the other 6.
fn scenario(utilisation: f64, shed_share: f64, seed: u64) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 20,
        replicas_per_zone: 5,
        agents_per_zone: 10,
    };
    let mut scenario = base_scenario(topology);
    let load = scenario.even_load(utilisation * 0.6);
    let servers = four_of_each_shard(&scenario.topology, seed);
    scenario.end = Duration::from_secs(45);
    scenario.changes = vec![
        (Duration::ZERO, load),
        (
            SHEDDING_START,
            Change::Behaviour(servers.clone(), Behaviour::Shedding(shed_share)),
        ),
        (
            Duration::from_secs(35),
            Change::Behaviour(servers, Behaviour::Healthy),
        ),
    ];
    scenario
}

fn four_of_each_shard(topology: &Topology, seed: u64) -> Vec<usize> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ stream_constant());
    (0..topology.shards)
        .flat_map(|shard| {
            let mut servers: Vec<usize> = topology.servers_of(shard).collect();
            servers.shuffle(&mut random);
            servers.truncate(4);
            servers
        })
        .collect()
}

/// Returns a constant that separates this random stream from that of the run with the same seed.
fn stream_constant() -> u64 {
    Pcg64Mcg::seed_from_u64(0x5eed).random()
}

/// Runs the experiment and prints its table.
pub fn run(plan: Plan) {
    let mut table = Table::new(&[
        "part shed",
        "load %",
        "policy",
        "extra %",
        "worst second %",
        "sheds %",
        "answered sub-requests %",
        "complete answers %",
        "p99 ms",
        "targets",
    ]);
    for (utilisation, shed_share) in [(0.5, 1.0), (0.75, 1.0), (0.5, 0.5)] {
        add_rows(&mut table, plan, utilisation, shed_share);
    }
    table.print(
        "Shedding: 40% of the replicas shed from 15 s to 35 s; load as a share of the capacity of \
         the others; the budget is 5% (targets: extra load within the budget, overall and in the \
         worst second; answers at least the baseline's)",
    );
}

fn add_rows(table: &mut Table, plan: Plan, utilisation: f64, shed_share: f64) {
    let kinds = [
        ("baseline", PolicyKind::Baseline),
        ("with retries", PolicyKind::BaselineWithRetries),
        ("router", PolicyKind::Router),
    ];
    let runs: Vec<(&str, Vec<Measurements>)> = kinds
        .iter()
        .map(|&(name, kind)| {
            let runs = over_seeds(plan, kind, |seed| scenario(utilisation, shed_share, seed));
            (name, runs)
        })
        .collect();
    let baseline = &runs[0].1;
    for (name, measured) in &runs {
        let holds = measured.iter().zip(baseline).all(|(run, baseline)| {
            run.extra_load() <= EXTRA_LOAD_BUDGET
                && run.worst_extra_load(WINDOW_SECONDS) <= EXTRA_LOAD_BUDGET
                && run.counts.answered >= baseline.counts.answered
                && run.counts.complete >= baseline.counts.complete
        });
        let summarize = |metric: fn(&Measurements) -> f64| Summary::of(measured.iter().map(metric));
        table.row(vec![
            format!("{:.0}%", shed_share * 100.0),
            format!("{:.0}", utilisation * 100.0),
            (*name).to_owned(),
            format_percentage(summarize(Measurements::extra_load), 2),
            format_percentage(summarize(|run| run.worst_extra_load(WINDOW_SECONDS)), 2),
            format_percentage(summarize(Measurements::shed_share), 2),
            format_percentage(summarize(Measurements::answered_share), 2),
            format_percentage(summarize(Measurements::complete_share), 2),
            format_summary(summarize(|run| run.latency_ms(0.99)), 0),
            format_verdict(holds),
        ]);
    }
}
