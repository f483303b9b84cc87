//! One region gets three times what it can take, for a minute.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Change, Scenario, Topology, base};
use crate::table::{Spread, Table, cell, per_cent, verdict};

/// When the overload begins, in seconds.
const BEGINS: usize = 20;
/// When it ends, in seconds.
const ENDS: usize = 80;
/// End of the run, in seconds.
const END: usize = 110;
/// The region's load before and after, as a share of its capacity.
const USUAL: f64 = 0.5;
/// The region's load in the overload, as a multiple of its capacity.
const OVERLOAD: f64 = 3.0;
/// The target: useful answers as a share of the total capacity.
const MIN_USEFUL: f64 = 0.9;
/// A region swings while its utilisation is this far from where it settles.
const SWING_BAND: f64 = 0.1;
/// The target: longest swing, in seconds.
const MAX_SWING: usize = 10;

/// One variant of the experiment.
#[derive(Clone, Copy, Debug)]
struct Variant {
    /// Load of the other regions, as a share of their capacity.
    others: f64,
    /// Requests that wait at a server with 4 slots before it sheds.
    queue: usize,
    /// How often a refused caller comes back when it was told to.
    come_backs: u32,
}

/// 20 shards of 6 replicas in two zones of each of three regions; region 0 is overloaded.
fn scenario(variant: Variant) -> Scenario {
    let Variant {
        others,
        queue,
        come_backs,
    } = variant;
    let topology = Topology {
        regions: 3,
        zones_per_region: 2,
        shards: 20,
        replicas_per_zone: 1,
        agents_per_zone: 10,
    };
    let mut scenario = base(topology);
    scenario.come_backs = come_backs;
    scenario.servers.queue = queue;
    scenario.warm_up = Duration::from_secs(BEGINS as u64);
    scenario.end = Duration::from_secs(END as u64);
    let region = scenario.queries_for(1.0) / 3.0;
    let load = |first: f64| Change::Load(vec![region * first, region * others, region * others]);
    scenario.changes = vec![
        (Duration::ZERO, load(USUAL)),
        (Duration::from_secs(BEGINS as u64), load(OVERLOAD)),
        (Duration::from_secs(ENDS as u64), load(USUAL)),
    ];
    scenario
}

/// Runs the experiment and prints its table.
pub fn run(plan: Plan) {
    let mut table = Table::new(&[
        "others' load %",
        "queue",
        "policy",
        "offered %",
        "useful %",
        "worst 5 s useful %",
        "complete of admitted %",
        "extra %",
        "longest swing s",
        "p99 ms",
        "targets",
    ]);
    for (others, queue, come_backs) in [(0.3, 8, 0), (0.3, 16, 0), (0.3, 8, 3)] {
        let variant = Variant {
            others,
            queue,
            come_backs,
        };
        for (name, kind) in [
            ("baseline", PolicyKind::Baseline),
            ("with retries", PolicyKind::BaselineWithRetries),
            ("router", PolicyKind::Router),
            ("no admission", PolicyKind::RouterWithoutAdmission),
        ] {
            let is_compared = matches!(kind, PolicyKind::Baseline | PolicyKind::Router);
            if come_backs > 0 && kind == PolicyKind::Router {
                table.row(row(plan, "router, callers return", kind, variant));
            } else if come_backs == 0 && (is_compared || queue == 8) {
                table.row(row(plan, name, kind, variant));
            }
        }
    }
    table.print(
        "Overload: one of three regions at 3 times its capacity for a minute; useful answers are \
         complete ones within the deadline, as a share of the capacity of all regions (targets: \
         useful at least 90%, longest swing of a region's utilisation at most 10 s)",
    );
}

/// The variant whose course is printed.
const TRACED: Variant = Variant {
    others: 0.3,
    queue: 8,
    come_backs: 0,
};

/// Prints the course of one run.
pub fn trace(plan: Plan) {
    crate::experiments::trace::print(&scenario(TRACED), plan);
}

fn row(plan: Plan, name: &str, kind: PolicyKind, variant: Variant) -> Vec<String> {
    let sample = scenario(variant);
    let runs = over_seeds(plan, kind, |_| scenario(variant));
    let figure =
        |of: &dyn Fn(&Measurements) -> f64| Spread::of(runs.iter().map(of).collect::<Vec<_>>());
    let useful = figure(&|run| useful(run, &sample, BEGINS, ENDS));
    let worst = figure(&|run| {
        (BEGINS..ENDS - 5)
            .map(|start| self::useful(run, &sample, start, start + 5))
            .fold(f64::MAX, f64::min)
    });
    let swing = figure(&|run| longest_swing(run, &sample) as f64);
    let holds = useful.least >= MIN_USEFUL && swing.greatest <= MAX_SWING as f64;
    vec![
        format!("{:.0}", variant.others * 100.0),
        variant.queue.to_string(),
        name.to_owned(),
        format!("{:.0}", (OVERLOAD + 2.0 * variant.others) / 3.0 * 100.0),
        per_cent(useful, 1),
        per_cent(worst, 1),
        per_cent(figure(&Measurements::complete_share_of_admitted), 1),
        per_cent(figure(&Measurements::extra_load), 2),
        cell(swing, 0),
        cell(figure(&|run| run.latency_ms(0.99)), 0),
        verdict(holds),
    ]
}

/// Complete answers from `start` to `end`, in seconds, as a share of the capacity.
fn useful(run: &Measurements, scenario: &Scenario, start: usize, end: usize) -> f64 {
    let answers: u64 = run.seconds[start..end]
        .iter()
        .flat_map(|second| &second.complete)
        .sum();
    let capacity = scenario.capacity() / scenario.topology.shards as f64;
    answers as f64 / (capacity * (end - start) as f64)
}

/// The longest time in which a region's utilisation is out of the band around its median, during
/// the overload or after it, in seconds. The way from one level to the other counts.
fn longest_swing(run: &Measurements, scenario: &Scenario) -> usize {
    let capacity = scenario.capacity() / scenario.topology.regions as f64;
    let mut longest = 0;
    for region in 0..scenario.topology.regions {
        let utilisation: Vec<f64> = run
            .seconds
            .iter()
            .map(|second| second.served[region] as f64 / capacity)
            .collect();
        for phase in [BEGINS..ENDS, ENDS..END] {
            longest = longest.max(longest_excursion(&utilisation[phase]));
        }
    }
    longest
}

fn longest_excursion(utilisation: &[f64]) -> usize {
    let median = Spread::of(utilisation[utilisation.len() / 2..].iter().copied()).median;
    let mut longest = 0;
    let mut current = 0;
    for level in utilisation {
        let out = (level - median).abs() > SWING_BAND;
        current = if out { current + 1 } else { 0 };
        longest = longest.max(current);
    }
    longest
}
