//! `sablehaven settings`: checks a settings file and prints the template of every key.

use std::path::PathBuf;

use clap::ArgMatches;

use crate::{
    error::{CommandError, ExitStatus},
    settings,
};

/// Every key with its default and its meaning.
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
        println!("{}: no section; every key has its default", path.display());
    }
    Ok(ExitStatus::Success)
}
