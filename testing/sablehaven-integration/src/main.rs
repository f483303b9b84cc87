//! Plays every child process of the integration tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablehaven_harness::child_main(std::env::args_os().skip(1))
}
