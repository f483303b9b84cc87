//! Runs a deployment as real processes on one machine.

fn main() {}
