//! Straight lines, medians, quantiles and tables of measured figures, for benchmarks and the fleet
//! tool.

pub mod fit;
pub mod statistics;
pub mod table;
