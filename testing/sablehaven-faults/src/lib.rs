//! A fault-injecting TCP proxy and disk faults.

pub mod disk;
