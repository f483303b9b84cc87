//! The experiments, each a ratio to a plain baseline in one run.

pub mod budget;
pub mod cold_start;
pub mod overload;
pub mod reports;
pub mod shedding;
pub mod tail;
pub mod trace;
