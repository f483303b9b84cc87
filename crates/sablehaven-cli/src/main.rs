//! The `sablehaven` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablehaven_cli::run(std::env::args_os())
}
