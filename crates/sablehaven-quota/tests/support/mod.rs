//! A single-threaded simulation of replicas, gateways and the messages between them, with simulated time.
#![allow(dead_code, reason = "each test uses a part of it")]

pub mod faults;
pub mod plan;
pub mod random;
pub mod steady;
pub mod windows;
pub mod world;

use std::time::Duration;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
