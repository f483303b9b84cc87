//! Figures: medians, spreads, fits, tables and plots.

pub mod plot;
pub mod process;

pub use sablehaven_measurements::{fit, statistics, table};
