//! Overloads one region with three times its capacity for a minute.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Change, Scenario, Topology, base_scenario};
use crate::table::{Summary, Table, format_percentage, format_summary, format_verdict};

/// Start of the overload.
const OVERLOAD_START_SECOND: usize = 20;
/// End of the overload.
const OVERLOAD_END_SECOND: usize = 80;
/// End of the run.
const RUN_END_SECOND: usize = 110;
/// Load of the region before and after the overload, as a share of its capacity.
const NORMAL_LOAD: f64 = 0.5;
/// Load of the region during the overload, as a multiple of its capacity.
const OVERLOAD_FACTOR: f64 = 3.0;
/// Target: minimum useful answers, as a share of the total capacity.
const MIN_USEFUL_SHARE: f64 = 0.9;
/// A region oscillates while its utilisation differs from its median by more than this.
const OSCILLATION_BAND: f64 = 0.1;
/// Target: longest oscillation.
const MAX_OSCILLATION_SECONDS: usize = 10;

/// One variant of the experiment.
#[derive(Clone, Copy, Debug)]
struct Variant {
    /// Load of the other regions, as a share of their capacity.
    other_regions_load: f64,
    /// Length of the queue at which a server with 4 slots sheds further requests.
    queue: usize,
    /// How often a refused caller retries after the delay that it was given.
    caller_retries: u32,
}

/// 20 shards with 6 replicas each, one in each of the two zones of three regions; region 0 is
/// overloaded.
fn scenario(variant: Variant) -> Scenario {
    let Variant {
        other_regions_load,
        queue,
        caller_retries,
    } = variant;
    let topology = Topology {
        regions: 3,
        zones_per_region: 2,
        shards: 20,
        replicas_per_zone: 1,
        agents_per_zone: 10,
    };
    let mut scenario = base_scenario(topology);
    scenario.caller_retries = caller_retries;
    scenario.servers.queue = queue;
    scenario.warm_up = Duration::from_secs(OVERLOAD_START_SECOND as u64);
    scenario.end = Duration::from_secs(RUN_END_SECOND as u64);
    let region_capacity = scenario.queries_for(1.0) / 3.0;
    let load = |region_0_load: f64| {
        Change::Load(vec![
            region_capacity * region_0_load,
            region_capacity * other_regions_load,
            region_capacity * other_regions_load,
        ])
    };
    scenario.changes = vec![
        (Duration::ZERO, load(NORMAL_LOAD)),
        (
            Duration::from_secs(OVERLOAD_START_SECOND as u64),
            load(OVERLOAD_FACTOR),
        ),
        (
            Duration::from_secs(OVERLOAD_END_SECOND as u64),
            load(NORMAL_LOAD),
        ),
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
        "longest oscillation s",
        "p99 ms",
        "targets",
    ]);
    for (other_regions_load, queue, caller_retries) in [(0.3, 8, 0), (0.3, 16, 0), (0.3, 8, 3)] {
        let variant = Variant {
            other_regions_load,
            queue,
            caller_retries,
        };
        for (name, kind) in [
            ("baseline", PolicyKind::Baseline),
            ("with retries", PolicyKind::BaselineWithRetries),
            ("router", PolicyKind::Router),
            ("no admission", PolicyKind::RouterWithoutAdmission),
        ] {
            let is_compared = matches!(kind, PolicyKind::Baseline | PolicyKind::Router);
            if caller_retries > 0 && kind == PolicyKind::Router {
                table.row(row(plan, "router, callers retry", kind, variant));
            } else if caller_retries == 0 && (is_compared || queue == 8) {
                table.row(row(plan, name, kind, variant));
            }
        }
    }
    table.print(
        "Overload: one of three regions at 3 times its capacity for a minute; useful answers are \
         complete ones within the deadline, as a share of the capacity of all regions (targets: \
         useful at least 90%, longest oscillation of a region's utilisation at most 10 s)",
    );
}

/// The variant that `trace` runs.
const TRACED_VARIANT: Variant = Variant {
    other_regions_load: 0.3,
    queue: 8,
    caller_retries: 0,
};

/// Prints each second of one run.
pub fn trace(plan: Plan) {
    crate::experiments::trace::print(&scenario(TRACED_VARIANT), plan);
}

fn row(plan: Plan, name: &str, kind: PolicyKind, variant: Variant) -> Vec<String> {
    let sample = scenario(variant);
    let runs = over_seeds(plan, kind, |_| scenario(variant));
    let summarize = |metric: &dyn Fn(&Measurements) -> f64| {
        Summary::of(runs.iter().map(metric).collect::<Vec<_>>())
    };
    let useful =
        summarize(&|run| useful_share(run, &sample, OVERLOAD_START_SECOND, OVERLOAD_END_SECOND));
    let worst = summarize(&|run| {
        (OVERLOAD_START_SECOND..OVERLOAD_END_SECOND - 5)
            .map(|start| self::useful_share(run, &sample, start, start + 5))
            .fold(f64::MAX, f64::min)
    });
    let oscillation = summarize(&|run| longest_oscillation(run, &sample) as f64);
    let holds = useful.min >= MIN_USEFUL_SHARE && oscillation.max <= MAX_OSCILLATION_SECONDS as f64;
    vec![
        format!("{:.0}", variant.other_regions_load * 100.0),
        variant.queue.to_string(),
        name.to_owned(),
        format!(
            "{:.0}",
            (OVERLOAD_FACTOR + 2.0 * variant.other_regions_load) / 3.0 * 100.0
        ),
        format_percentage(useful, 1),
        format_percentage(worst, 1),
        format_percentage(summarize(&Measurements::complete_share_of_admitted), 1),
        format_percentage(summarize(&Measurements::extra_load), 2),
        format_summary(oscillation, 0),
        format_summary(summarize(&|run| run.latency_ms(0.99)), 0),
        format_verdict(holds),
    ]
}

/// Returns the complete answers from second `start` to second `end`, as a share of the capacity.
fn useful_share(run: &Measurements, scenario: &Scenario, start: usize, end: usize) -> f64 {
    let answers: u64 = run.seconds[start..end]
        .iter()
        .flat_map(|second| &second.complete)
        .sum();
    let capacity = scenario.capacity() / scenario.topology.shards as f64;
    answers as f64 / (capacity * (end - start) as f64)
}

/// Returns the longest time in seconds for which the utilisation of a region stays outside the band
/// around its median, during the overload or after it. The transition between the two load levels
/// counts.
fn longest_oscillation(run: &Measurements, scenario: &Scenario) -> usize {
    let capacity = scenario.capacity() / scenario.topology.regions as f64;
    let mut longest = 0;
    for region in 0..scenario.topology.regions {
        let utilisation: Vec<f64> = run
            .seconds
            .iter()
            .map(|second| second.served[region] as f64 / capacity)
            .collect();
        for phase in [
            OVERLOAD_START_SECOND..OVERLOAD_END_SECOND,
            OVERLOAD_END_SECOND..RUN_END_SECOND,
        ] {
            longest = longest.max(longest_excursion(&utilisation[phase]));
        }
    }
    longest
}

fn longest_excursion(utilisation: &[f64]) -> usize {
    let median = Summary::of(utilisation[utilisation.len() / 2..].iter().copied()).median;
    let mut longest = 0;
    let mut current = 0;
    for level in utilisation {
        let is_outside = (level - median).abs() > OSCILLATION_BAND;
        current = if is_outside { current + 1 } else { 0 };
        longest = longest.max(current);
    }
    longest
}
