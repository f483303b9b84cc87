//! Runs a scenario with several seeds on a limited number of threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::run;

/// The seeds to run and the number of concurrent runs.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Highest seed; the runs use the seeds from 1 to this.
    pub seeds: u64,
    /// Number of concurrent runs.
    pub threads: usize,
}

/// Creates the scenario for each seed, runs it with one policy, and returns the measurements in the
/// order of the seeds.
pub fn over_seeds(
    plan: Plan,
    policy: PolicyKind,
    scenario: impl Fn(u64) -> Scenario + Sync,
) -> Vec<Measurements> {
    let seeds = plan.seeds as usize;
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<Measurements>>> = (0..seeds).map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..plan.threads.min(seeds) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= seeds {
                        return;
                    }
                    let seed = index as u64 + 1;
                    let measured = run(&scenario(seed), policy, seed);
                    *results[index].lock().expect("no run panicked") = Some(measured);
                }
            });
        }
    });
    results
        .into_iter()
        .map(|result| {
            let result = result.into_inner().expect("no run panicked");
            result.expect("every seed was run")
        })
        .collect()
}
