//! The promises and what a check found of each.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A promise of the product to its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An answer reflects a single snapshot of the index.
    SingleSnapshot,
    /// An answer states its coverage truthfully.
    TruthfulCoverage,
    /// Each caller receives the whole answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" means that the request did not run.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A back end that is leaving stops receiving new work.
    LeavingBackend,
    /// A planned stop interrupts no request in flight.
    PlannedStop,
    /// An accepted configuration is in force everywhere within the limit.
    ConfigurationInForce,
    /// An accepted configuration never reverts.
    ConfigurationNeverReverts,
    /// Commands and readings of the configuration are linearizable.
    ConfigurationLinearizable,
}

impl Promise {
    /// Every promise, in the order of the table.
    pub const ALL: [Self; 10] = [
        Self::SingleSnapshot,
        Self::TruthfulCoverage,
        Self::OwnAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingBackend,
        Self::PlannedStop,
        Self::ConfigurationInForce,
        Self::ConfigurationNeverReverts,
        Self::ConfigurationLinearizable,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::SingleSnapshot => "single snapshot",
            Self::TruthfulCoverage => "truthful coverage",
            Self::OwnAnswer => "own and whole answer",
            Self::NotRunIsTrue => "'not run' is true",
            Self::AtMostOnce => "at most once",
            Self::LeavingBackend => "leaving back end gets no new work",
            Self::PlannedStop => "planned stop interrupts nothing",
            Self::ConfigurationInForce => "configuration in force in time",
            Self::ConfigurationNeverReverts => "configuration never reverts",
            Self::ConfigurationLinearizable => "configuration linearizable",
        })
    }
}

/// One way in which a history breaks a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// What was found, with the call, execution or command that shows it.
    pub what: String,
}

/// What the check of one promise found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckResult {
    /// The promise.
    pub promise: Promise,
    /// How many calls, executions, stops or commands the check looked at; 0 means that the history
    /// says nothing about the promise.
    pub examined: u64,
    /// Every violation.
    pub violations: Vec<Violation>,
}

impl CheckResult {
    pub(crate) fn new(promise: Promise) -> Self {
        Self {
            promise,
            examined: 0,
            violations: Vec::new(),
        }
    }

    pub(crate) fn violated(&mut self, what: String) {
        self.violations.push(Violation { what });
    }

    /// Whether the check looked at something and found no violation.
    pub fn is_kept(&self) -> bool {
        self.examined > 0 && self.violations.is_empty()
    }
}

/// What the checks of all promises found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// One result for each promise, in the order of [`Promise::ALL`].
    pub results: Vec<CheckResult>,
}

impl Report {
    /// The result for one promise.
    pub fn result(&self, promise: Promise) -> Option<&CheckResult> {
        self.results.iter().find(|result| result.promise == promise)
    }

    /// Whether no promise was broken; says nothing of promises that were not examined.
    pub fn has_no_violation(&self) -> bool {
        self.results
            .iter()
            .all(|result| result.violations.is_empty())
    }

    /// Promises about which the history says nothing.
    pub fn not_examined(&self) -> Vec<Promise> {
        self.results
            .iter()
            .filter(|result| result.examined == 0)
            .map(|result| result.promise)
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for result in &self.results {
            let verdict = match (result.examined, result.violations.len()) {
                (0, 0) => "not examined".to_owned(),
                (_, 0) => "kept".to_owned(),
                (_, count) => format!("BROKEN ({count})"),
            };
            writeln!(
                formatter,
                "{:<34} {:>9} examined  {verdict}",
                result.promise, result.examined
            )?;
        }
        Ok(())
    }
}
