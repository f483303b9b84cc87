//! Runs of one scenario over all seeds and policies, a few at a time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::metrics::Measurements;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::run;

/// Which seeds to run and how many runs go at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seeds from 1 to this.
    pub seeds: u64,
    /// Runs at the same time.
    pub threads: usize,
}

/// Runs a scenario, made anew for each seed, with one policy; the measurements in order of seeds.
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
