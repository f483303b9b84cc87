//! The `sablehaven settings` command, which checks a settings file and prints a template.

use std::path::PathBuf;

use clap::ArgMatches;

use crate::{
    error::{CommandError, ExitStatus},
    settings,
};

/// Settings file that contains every key with its default and its description.
const TEMPLATE: &str = include_str!("../settings-template.toml");

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("template", _)) => {
            print!("{TEMPLATE}");
            Ok(ExitStatus::Success)
        }
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn check(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires the file");
    let loaded = settings::load(Some(path), &[], None)?;
    for role in &loaded.sections {
        println!("{}: section [{role}] is valid", path.display());
    }
    if loaded.sections.is_empty() {
        println!(
            "{}: no section, all settings have their defaults",
            path.display()
        );
    }
    Ok(ExitStatus::Success)
}
