//! One checker a promise.

mod answer;
mod configuration;
mod coverage;
mod index;
mod linearizable;
mod membership;
mod once;
mod stop;

use serde::{Deserialize, Serialize};

use crate::{History, Report};
use index::Index;

/// How much time the promises allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Time from a back end's leaving until it gets no new work, in milliseconds.
    pub leaving_ms: u64,
    /// Time from the acceptance of a configuration until it is in force everywhere, in milliseconds.
    pub in_force_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            leaving_ms: 2_000,
            in_force_ms: 7_000,
        }
    }
}

/// Checks every promise against a history.
pub fn check(history: &History, limits: &Limits) -> Report {
    let index = Index::new(history);
    let results = vec![
        answer::single_snapshot(&index),
        coverage::truthful(&index),
        answer::own(&index),
        once::not_run_is_true(&index),
        once::at_most_once(&index),
        membership::leaving_backend(&index, limits.leaving_ms),
        stop::planned(&index),
        configuration::in_force(&index, limits.in_force_ms),
        configuration::never_reverts(&index),
        linearizable::check(&index),
    ];
    Report { results }
}
