//! Experiments: scenarios from a file, repeated, with a plain baseline beside the candidate.

mod contenders;
mod figures;
mod file;
mod output;
mod report;
mod runner;
mod topology;

pub use figures::{Contender, Figures, Window, figures};
pub use file::{Disturbance, ExperimentError, ExperimentFile, LoadSettings, Scenario, Topology};
pub use output::write;
pub use report::{Comparison, ExperimentReport, Repeat, ScenarioReport};
pub use runner::run;
pub(crate) use topology::capacity_plan;
