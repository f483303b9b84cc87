//! Errors of the fleet tool.

use std::path::PathBuf;

/// Errors of running a deployment; each names the step and the process, file or peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FleetError {
    /// {0}
    Harness(#[from] sablehaven_harness::HarnessError),
    /// {0}
    Admin(#[from] sablehaven_standins::host::AdminError),
    /// operator: {0}
    Operator(#[from] sablehaven_cli::CommandError),
    /// {0}
    Journal(#[from] sablehaven_history::JournalError),
    /// {0}
    Experiment(#[from] crate::experiment::ExperimentError),
    /// {0}
    Plot(#[from] crate::measure::plot::PlotError),
    /// {0}
    Process(#[from] crate::measure::process::ProcessError),
    /// publish snapshot {snapshot} of {service}: {outcome}
    Publish {
        /// The service.
        service: String,
        /// The snapshot.
        snapshot: String,
        /// What came back.
        outcome: String,
    },
    /// {step}: {reason}
    Step {
        /// What was tried.
        step: String,
        /// What does not fit.
        reason: String,
    },
    /// write {path}: {source}
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}

impl FleetError {
    /// An error of a step that has no type of its own.
    pub fn step(step: &str, reason: impl ToString) -> Self {
        Self::Step {
            step: step.to_owned(),
            reason: reason.to_string(),
        }
    }
}
