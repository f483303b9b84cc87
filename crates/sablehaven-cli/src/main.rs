//! The `sablehaven` binary.

fn main() {}
