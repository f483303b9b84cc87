//! Seeded simulation of the consensus group, ledger, configuration and leases.
//!
//! The consensus replicas and control's state machines are the ones of the product; disks, links,
//! clocks, relays, agents and callers are simulated. One seed gives one run, always the same. Every
//! run is checked for the properties in [`checks::Property`].

pub mod checks;
pub mod cli;
mod control_machines;
mod disk;
mod event_queue;
mod faults;
mod group_member;
mod machine;
mod network;
mod packet;
mod process;
mod processes;
mod progress_check;
mod random;
mod runner;
mod scenario;
mod strikes;
mod trace;
mod variant;
mod view;
mod world;

pub use runner::{Plan, Report, run_seed, run_seeds};
pub use scenario::Scenario;
pub use variant::Variant;
