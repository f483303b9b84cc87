//! The `sablehaven data` command, which inspects a control replica's data folder without changing it.

use std::path::PathBuf;

use clap::ArgMatches;
use sablehaven_storage::{DamageReport, Inspection};

use crate::{
    error::{CommandError, ExitStatus},
    output::{Output, table},
};

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    match matches.subcommand() {
        Some(("inspect", matches)) => inspect(matches),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn inspect(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let path: &PathBuf = matches.get_one("folder").expect("clap requires the folder");
    let report = sablehaven_storage::inspect(path).map_err(|error| CommandError::Inspect {
        path: path.clone(),
        reason: error.to_string(),
    })?;
    Output::new(matches.get_flag("json")).print(&report, || describe(&report))?;
    Ok(if report.damage.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Invalid
    })
}

fn describe(report: &Inspection) -> String {
    let mut text = match &report.identity {
        Some(identity) => format!(
            "replica {} of deployment {}\n",
            identity.replica, identity.deployment
        ),
        None => "no identity: the folder is not formatted or is damaged\n".to_owned(),
    };
    text.push('\n');
    text.push_str(&segment_table(report));
    text.push('\n');
    text.push_str(&group_table(report));
    if let Some(tail) = &report.torn_tail {
        text.push_str(&format!(
            "\nunfinished write in {} at offset {}, {} bytes; the next start truncates it\n",
            tail.file, tail.offset, tail.bytes
        ));
    }
    for damage in &report.damage {
        text.push_str(&describe_damage(damage));
    }
    text
}

fn segment_table(report: &Inspection) -> String {
    let rows = report.segments.iter().map(|segment| {
        [
            segment.file.clone(),
            segment.bytes.to_string(),
            segment.records.to_string(),
        ]
    });
    table(["segment", "bytes", "records"], rows)
}

fn group_table(report: &Inspection) -> String {
    let header = [
        "group",
        "term",
        "snapshot index",
        "snapshot bytes",
        "last index",
        "entries",
    ];
    let rows = report.groups.iter().map(|(group, state)| {
        [
            group.to_string(),
            state.hard_state.term.to_string(),
            state.snapshot.index.to_string(),
            state.snapshot_bytes.unwrap_or(0).to_string(),
            state.last_index.to_string(),
            state.entries.to_string(),
        ]
    });
    table(header, rows)
}

fn describe_damage(damage: &DamageReport) -> String {
    let offset = damage
        .offset
        .map_or_else(String::new, |offset| format!(" at offset {offset}"));
    format!("\ndamage in {}{offset}: {}\n", damage.file, damage.reason)
}
