//! Figures: medians, spreads, fits, tables and plots.

pub mod fit;
pub mod plot;
pub mod process;
pub mod statistics;
pub mod table;
