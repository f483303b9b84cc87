//! Running seeds: one, or many in parallel.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use crate::{
    checks::{Counts, Violation},
    random::Random,
    scenario::{Scenario, Settings},
    trace::Trace,
    variant::Variant,
    world::World,
};

/// Which runs are made of seeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// The scenario; by the seed where it is not given.
    pub scenario: Option<Scenario>,
    /// The mechanism that is switched off.
    pub variant: Option<Variant>,
}

/// What became of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The scenario.
    pub scenario: Scenario,
    /// The first violation.
    pub violation: Option<Violation>,
    /// What happened.
    pub counts: Counts,
    /// The last events, where a trace was asked for.
    pub trace: Vec<String>,
}

/// Runs one seed and keeps the last `trace_lines` events.
pub fn run_seed(plan: Plan, seed: u64, trace_lines: usize) -> Report {
    let scenario = plan.scenario.unwrap_or_else(|| Scenario::of_seed(seed));
    let mut random = Random::new(seed);
    let settings = Settings::draw(scenario, plan.variant, &mut random);
    let mut world = World::new(settings, random, Trace::new(trace_lines));
    let violation = world.run();
    Report {
        seed,
        scenario,
        violation,
        counts: world.checks.counts,
        trace: world.trace.into_lines(),
    }
}

/// Runs seeds on several threads and hands each report to `report`, in no fixed order. Stops early
/// when `report` returns false.
pub fn run_seeds(
    plan: Plan,
    first: u64,
    count: u64,
    jobs: usize,
    report: impl FnMut(Report) -> bool + Send,
) {
    let next = AtomicU64::new(0);
    let report = Mutex::new(report);
    let work = || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= count {
            return;
        }
        let result = run_seed(plan, first + number, 0);
        let goes_on = match report.lock() {
            Ok(mut report) => report(result),
            Err(_) => false,
        };
        if !goes_on {
            next.store(count, Ordering::Relaxed);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
}
