//! `sablehaven explain`: from a request's id to its cause, by saved logs.

use std::path::{Path, PathBuf};

use clap::ArgMatches;

use crate::{
    error::{CommandError, ExitStatus},
    explain::{Explanation, LogLine, explain, read_lines},
};

/// Reads the files, collects the request's lines and prints them with what decided.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    let explanation = explain(id, lines);
    if explanation.lines.is_empty() {
        println!("no line names request {id}: it went as usual, or never reached these processes");
        return Ok(ExitStatus::Failed);
    }
    print(&explanation);
    Ok(ExitStatus::Success)
}

fn read(file: &Path) -> Result<Vec<LogLine>, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::Read {
        path: file.to_owned(),
        source,
    })?;
    let process = file.file_stem().unwrap_or_default().to_string_lossy();
    Ok(read_lines(&process, &text))
}

fn print(explanation: &Explanation) {
    println!("what the process believed:");
    explanation.beliefs.iter().for_each(print_line);
    println!("the request:");
    explanation.lines.iter().for_each(print_line);
    println!("what decided:");
    for verdict in &explanation.verdicts {
        println!("  {verdict}");
    }
}

fn print_line(line: &LogLine) {
    let fields = line.fields.iter().filter(|(key, _)| *key != "event");
    let fields: Vec<String> = fields
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    let LogLine {
        process,
        timestamp,
        event,
        ..
    } = line;
    println!("  {timestamp} {process} {event} {}", fields.join(" "));
}
