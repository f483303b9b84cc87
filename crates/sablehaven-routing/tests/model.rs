//! Scenarios with many agents and back ends in the discrete-event model, at small sizes.
//!
//! They compare a mechanism with the same run without it or with a baseline policy. The sizes for
//! which the project publishes figures are those of the `routing_model` example.

use std::time::Duration;

macro_rules! model_modules {
    ($($name:ident at $path:literal),+ $(,)?) => {$(
        #[path = $path]
        #[allow(dead_code, reason = "the example uses the rest of the model")]
        mod $name;
    )+};
}

model_modules! {
    arena at "../examples/routing_model/arena.rs",
    metrics at "../examples/routing_model/metrics.rs",
    policy at "../examples/routing_model/policy.rs",
    scenario at "../examples/routing_model/scenario.rs",
    scheduler at "../examples/routing_model/scheduler.rs",
    server at "../examples/routing_model/server.rs",
    shared_bucket at "../examples/routing_model/shared_bucket.rs",
    simulation at "../examples/routing_model/simulation.rs",
}

use policy::PolicyKind;
use scenario::{Behaviour, Change, Scenario, Topology, base_scenario};
use simulation::run;

const SEED: u64 = 5;

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

/// One region with 10 shards of 4 replicas in two zones.
fn one_region(utilisation: f64) -> Scenario {
    let mut scenario = base_scenario(Topology {
        regions: 1,
        zones_per_region: 2,
        shards: 10,
        replicas_per_zone: 2,
        agents_per_zone: 3,
    });
    scenario.warm_up = seconds(4);
    scenario.end = seconds(14);
    scenario.changes = vec![(Duration::ZERO, scenario.even_load(utilisation))];
    scenario
}

fn every_second_server(scenario: &Scenario) -> Vec<usize> {
    (0..scenario.topology.servers()).step_by(2).collect()
}

#[test]
fn hedges_reduce_the_tail_latency_caused_by_stragglers() {
    let mut scenario = one_region(0.5);
    scenario.servers.straggler_share = 0.01;
    let baseline = run(&scenario, PolicyKind::Baseline, SEED).latency_ms(0.99);
    let router = run(&scenario, PolicyKind::Router, SEED);
    assert!(router.latency_ms(0.99) <= 0.4 * baseline);
    assert!(router.extra_load() <= 0.05);
    let without = run(&scenario, PolicyKind::RouterWithoutHedges, SEED);
    assert!(without.latency_ms(0.99) > 0.4 * baseline);
}

#[test]
fn a_stuck_replica_of_each_shard_costs_few_complete_replies() {
    let mut scenario = one_region(0.4);
    let stuck = (0..10).map(|shard| 4 * shard + shard % 4).collect();
    let change = Change::Behaviour(stuck, Behaviour::Stuck);
    scenario.changes.push((seconds(2), change));
    let router = run(&scenario, PolicyKind::Router, SEED);
    assert!(router.complete_share() > 0.995);
    assert!(router.latency_ms(0.99) < 200.0);
    let baseline = run(&scenario, PolicyKind::Baseline, SEED);
    assert!(baseline.complete_share() < 0.2);
}

#[test]
fn the_budget_holds_while_half_of_the_replicas_shed() {
    let mut scenario = one_region(0.3);
    let change = Change::Behaviour(every_second_server(&scenario), Behaviour::Shedding(0.7));
    scenario.changes.push((seconds(5), change));
    let router = run(&scenario, PolicyKind::Router, SEED);
    assert!(router.extra_load() <= 0.05);
    assert!(router.worst_extra_load(1) <= 0.05);
    assert!(router.answered_share() > 0.98);
    let without = run(&scenario, PolicyKind::RouterWithoutBudget, SEED);
    assert!(without.worst_extra_load(1) > 0.05);
    let baseline = run(&scenario, PolicyKind::Baseline, SEED);
    assert!(router.counts.complete > baseline.counts.complete);
}

#[test]
fn admission_keeps_replies_complete_at_twice_the_capacity() {
    let scenario = one_region(2.0);
    let capacity = scenario.queries_for(1.0) * 10.0;
    let relative_goodput = |kind| run(&scenario, kind, SEED).counts.complete as f64 / capacity;
    let router = relative_goodput(PolicyKind::Router);
    let without = relative_goodput(PolicyKind::RouterWithoutAdmission);
    assert!(router > 0.75, "{router}");
    assert!(without < 0.3, "{without}");
}

#[test]
fn an_overloaded_region_spills_to_the_others_without_oscillation() {
    let mut scenario = base_scenario(Topology {
        regions: 2,
        zones_per_region: 1,
        shards: 5,
        replicas_per_zone: 3,
        agents_per_zone: 4,
    });
    let region_load = scenario.queries_for(1.0) / 2.0;
    scenario.warm_up = seconds(10);
    scenario.end = seconds(30);
    let load = Change::Load(vec![1.4 * region_load, 0.2 * region_load]);
    scenario.changes = vec![(Duration::ZERO, load)];
    let measured = run(&scenario, PolicyKind::Router, SEED);
    assert!(measured.complete_share() > 0.95);
    let capacity = scenario.capacity() / 2.0;
    for second in &measured.seconds[10..29] {
        let remote_utilisation = second.served[1] as f64 / capacity;
        assert!(
            (0.4..0.95).contains(&remote_utilisation),
            "{remote_utilisation}"
        );
    }
}

#[test]
fn a_run_is_determined_by_its_seed() {
    let scenario = one_region(0.5);
    let counts = |seed| run(&scenario, PolicyKind::Router, seed).counts;
    assert_eq!(counts(1).needed, counts(1).needed);
    assert_eq!(counts(1).hedges, counts(1).hedges);
    assert_ne!(counts(1).needed, counts(2).needed);
}
