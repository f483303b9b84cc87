//! Compares a retry budget per agent with one token bucket that all agents share.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base_scenario};
use crate::table::{Summary, Table, format_percentage, format_summary};

/// Windows over which the extra load is compared with the budget, in seconds.
const WINDOWS_SECONDS: [usize; 2] = [1, 10];

/// Which agents need hedges and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// All servers have stragglers, so every agent needs the same number of extra attempts.
    Even,
    /// Half of the replicas in one of three regions shed half of their requests, so only the agents
    /// of that region need more than their share of the budget.
    OneRegion,
    /// Like `OneRegion`, but only for 5 s of every 10 s.
    Bursts,
}

/// 10 shards with 12 replicas each in three regions, at 50% load.
fn scenario(need: Need) -> Scenario {
    let topology = Topology {
        regions: 3,
        zones_per_region: 1,
        shards: 10,
        replicas_per_zone: 4,
        agents_per_zone: 10,
    };
    let mut scenario = base_scenario(topology);
    scenario.servers.straggler_share = if need == Need::Even { 0.01 } else { 0.0 };
    scenario.end = Duration::from_secs(50);
    scenario.changes = vec![(Duration::ZERO, scenario.even_load(0.5))];
    let servers = half_of_one_region(&scenario.topology);
    let mut set_behaviour = |second: u64, behaviour: Behaviour| {
        let change = Change::Behaviour(servers.clone(), behaviour);
        scenario.changes.push((Duration::from_secs(second), change));
    };
    match need {
        Need::Even => {}
        Need::OneRegion => set_behaviour(10, Behaviour::Shedding(0.5)),
        Need::Bursts => {
            for second in [10, 20, 30, 40] {
                set_behaviour(second, Behaviour::Shedding(0.5));
                set_behaviour(second + 5, Behaviour::Healthy);
            }
        }
    }
    scenario
}

fn half_of_one_region(topology: &Topology) -> Vec<usize> {
    (0..topology.servers())
        .filter(|&server| topology.zone_of_server(server) == 0 && server % 2 == 0)
        .collect()
}

/// Runs the experiment and prints its table.
pub fn run(plan: Plan) {
    let mut table = Table::new(&[
        "need",
        "budget",
        "complete answers %",
        "p99 ms",
        "extra %",
        "worst 1 s %",
        "worst 10 s %",
        "messages per agent and minute",
    ]);
    for need in [Need::Even, Need::OneRegion, Need::Bursts] {
        for (name, kind) in [
            ("each agent's own", PolicyKind::Router),
            ("shared bucket", PolicyKind::RouterWithSharedBudget),
            ("none", PolicyKind::RouterWithoutBudget),
        ] {
            let runs = over_seeds(plan, kind, |_| scenario(need));
            table.row(row(need, name, &runs));
        }
    }
    table.print(
        "Budget: hedges and retries limited to 5% of the needed sub-requests, by a budget per agent \
         or by one shared token bucket",
    );
}

fn row(need: Need, name: &str, runs: &[Measurements]) -> Vec<String> {
    let sample = scenario(need);
    let agent_minutes = sample.topology.agents() as f64 * sample.end.as_secs_f64() / 60.0;
    let summarize = |metric: &dyn Fn(&Measurements) -> f64| {
        Summary::of(runs.iter().map(metric).collect::<Vec<_>>())
    };
    vec![
        format!("{need:?}"),
        name.to_owned(),
        format_percentage(summarize(&Measurements::complete_share), 2),
        format_summary(summarize(&|run| run.latency_ms(0.99)), 0),
        format_percentage(summarize(&Measurements::extra_load), 2),
        format_percentage(
            summarize(&|run| run.worst_extra_load(WINDOWS_SECONDS[0])),
            2,
        ),
        format_percentage(
            summarize(&|run| run.worst_extra_load(WINDOWS_SECONDS[1])),
            2,
        ),
        format_summary(summarize(&|run| run.messages as f64 / agent_minutes), 1),
    ]
}
