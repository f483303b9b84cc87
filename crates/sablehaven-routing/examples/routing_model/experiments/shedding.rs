//! Two of five replicas shed, for a reason of their own.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base};
use crate::table::{Spread, Table, cell, per_cent, verdict};

/// The budget of extra load.
const BUDGET: f64 = 0.05;
/// When the sheds begin.
const SHEDS_BEGIN: Duration = Duration::from_secs(15);
/// Window over which the extra load is held against the budget, in seconds.
const WINDOW: usize = 1;

/// 55 shards of 10 replicas in two zones; in each shard 4 replicas, drawn by the seed, shed from
/// 15 s to 35 s the given part of what they get. `utilisation` is that of the other 6.
fn scenario(utilisation: f64, part: f64, seed: u64) -> Scenario {
    let topology = Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 55,
        replicas_per_zone: 5,
        agents_per_zone: 10,
    };
    let mut scenario = base(topology);
    let load = scenario.even_load(utilisation * 0.6);
    let servers = four_of_each_shard(&scenario.topology, seed);
    scenario.end = Duration::from_secs(45);
    scenario.changes = vec![
        (Duration::ZERO, load),
        (
            SHEDS_BEGIN,
            Change::Behave(servers.clone(), Behaviour::Shedding(part)),
        ),
        (
            Duration::from_secs(35),
            Change::Behave(servers, Behaviour::Healthy),
        ),
    ];
    scenario
}

fn four_of_each_shard(topology: &Topology, seed: u64) -> Vec<usize> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ random_stream());
    (0..topology.shards)
        .flat_map(|shard| {
            let mut servers: Vec<usize> = topology.servers_of(shard).collect();
            servers.shuffle(&mut random);
            servers.truncate(4);
            servers
        })
        .collect()
}

/// A stream apart from that of the run with the same seed.
fn random_stream() -> u64 {
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
    for (utilisation, part) in [(0.5, 1.0), (0.75, 1.0), (0.5, 0.5)] {
        add_rows(&mut table, plan, utilisation, part);
    }
    table.print(
        "Shedding: 40% of the replicas shed from 15 s to 35 s; load as a share of the others; the \
         budget is 5% (targets: extra load within the budget, in all and in the worst second; \
         answers at least the baseline's)",
    );
}

fn add_rows(table: &mut Table, plan: Plan, utilisation: f64, part: f64) {
    let kinds = [
        ("baseline", PolicyKind::Baseline),
        ("with retries", PolicyKind::BaselineWithRetries),
        ("router", PolicyKind::Router),
    ];
    let runs: Vec<(&str, Vec<Measurements>)> = kinds
        .iter()
        .map(|&(name, kind)| {
            let runs = over_seeds(plan, kind, |seed| scenario(utilisation, part, seed));
            (name, runs)
        })
        .collect();
    let baseline = &runs[0].1;
    for (name, measured) in &runs {
        let holds = measured.iter().zip(baseline).all(|(run, baseline)| {
            run.extra_load() <= BUDGET
                && run.worst_extra_load(WINDOW) <= BUDGET
                && run.counts.answered >= baseline.counts.answered
                && run.counts.complete >= baseline.counts.complete
        });
        let figure = |of: fn(&Measurements) -> f64| Spread::of(measured.iter().map(of));
        table.row(vec![
            format!("{:.0}%", part * 100.0),
            format!("{:.0}", utilisation * 100.0),
            (*name).to_owned(),
            per_cent(figure(Measurements::extra_load), 2),
            per_cent(figure(|run| run.worst_extra_load(WINDOW)), 2),
            per_cent(figure(Measurements::shed_share), 2),
            per_cent(figure(Measurements::answered_share), 2),
            per_cent(figure(Measurements::complete_share), 2),
            cell(figure(|run| run.latency_ms(0.99)), 0),
            verdict(holds),
        ]);
    }
}
