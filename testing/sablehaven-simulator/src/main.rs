//! The `simulate` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = sablehaven_simulator::cli::command().get_matches();
    match sablehaven_simulator::cli::run(&arguments) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
