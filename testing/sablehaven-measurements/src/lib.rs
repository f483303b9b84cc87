//! Straight lines, medians, quantiles and tables of measured figures, for benchmarks and the fleet
//! tool, and the footprint of a process.

pub mod fit;
pub mod footprint;
pub mod statistics;
pub mod table;
