//! The `sablehaven explain` command, which explains the outcome of a request from saved logs.

use std::path::{Path, PathBuf};

use clap::ArgMatches;

use crate::{
    error::{CommandError, ExitStatus},
    explain::{Explanation, LogLine, explain, parse_log},
};

/// Reads the log files and prints the lines of the request and the explanation of its outcome.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let request_id = matches.get_one::<String>("id").map_or("", String::as_str);
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    let explanation = explain(request_id, lines);
    if explanation.lines.is_empty() {
        println!(
            "no line names request {request_id}: it was served normally, or it never reached these processes"
        );
        return Ok(ExitStatus::Failed);
    }
    print(&explanation);
    Ok(ExitStatus::Success)
}

fn read_log(file: &Path) -> Result<Vec<LogLine>, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::Read {
        path: file.to_owned(),
        source,
    })?;
    let process = file.file_stem().unwrap_or_default().to_string_lossy();
    Ok(parse_log(&process, &text))
}

fn print(explanation: &Explanation) {
    println!("state of the process:");
    explanation.process_state.iter().for_each(print_line);
    println!("lines of the request:");
    explanation.lines.iter().for_each(print_line);
    println!("explanation:");
    for summary in &explanation.summaries {
        println!("  {summary}");
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
