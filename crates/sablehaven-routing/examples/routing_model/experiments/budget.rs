//! A budget of each agent's own against one token bucket shared by all agents.

use std::time::Duration;

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::runs::{Plan, over_seeds};
use crate::scenario::{Behaviour, Change, Scenario, Topology, base};
use crate::table::{Spread, Table, cell, per_cent};

/// Windows over which the extra load is held against the budget, in seconds.
const WINDOWS: [usize; 2] = [1, 10];

/// Where work beyond the needed one is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Stragglers everywhere: every agent wants as much.
    Even,
    /// Half of the replicas of one of three regions shed half of what they get: only the agents
    /// there want more than their own share.
    OneRegion,
    /// The same, but only for 5 s of each 10 s.
    Bursts,
}

/// 10 shards of 12 replicas in three regions, 50% load.
fn scenario(need: Need) -> Scenario {
    let topology = Topology {
        regions: 3,
        zones_per_region: 1,
        shards: 10,
        replicas_per_zone: 4,
        agents_per_zone: 10,
    };
    let mut scenario = base(topology);
    scenario.servers.straggler_share = if need == Need::Even { 0.01 } else { 0.0 };
    scenario.end = Duration::from_secs(50);
    scenario.changes = vec![(Duration::ZERO, scenario.even_load(0.5))];
    let servers = half_of_one_region(&scenario.topology);
    let mut behave = |second: u64, behaviour: Behaviour| {
        let change = Change::Behave(servers.clone(), behaviour);
        scenario.changes.push((Duration::from_secs(second), change));
    };
    match need {
        Need::Even => {}
        Need::OneRegion => behave(10, Behaviour::Shedding(0.5)),
        Need::Bursts => {
            for second in [10, 20, 30, 40] {
                behave(second, Behaviour::Shedding(0.5));
                behave(second + 5, Behaviour::Healthy);
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
        "Budget: hedges and retries limited to 5% of the needed work, by each agent for itself or \
         by one shared token bucket",
    );
}

fn row(need: Need, name: &str, runs: &[Measurements]) -> Vec<String> {
    let sample = scenario(need);
    let agent_minutes = sample.topology.agents() as f64 * sample.end.as_secs_f64() / 60.0;
    let figure =
        |of: &dyn Fn(&Measurements) -> f64| Spread::of(runs.iter().map(of).collect::<Vec<_>>());
    vec![
        format!("{need:?}"),
        name.to_owned(),
        per_cent(figure(&Measurements::complete_share), 2),
        cell(figure(&|run| run.latency_ms(0.99)), 0),
        per_cent(figure(&Measurements::extra_load), 2),
        per_cent(figure(&|run| run.worst_extra_load(WINDOWS[0])), 2),
        per_cent(figure(&|run| run.worst_extra_load(WINDOWS[1])), 2),
        cell(figure(&|run| run.messages as f64 / agent_minutes), 1),
    ]
}
