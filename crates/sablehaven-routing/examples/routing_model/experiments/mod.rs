//! The experiments. Most compare the router with a simple baseline in the same run.

pub mod budget;
pub mod cold_start;
pub mod overload;
pub mod reports;
pub mod shedding;
pub mod subsets;
pub mod tail;
pub mod trace;
