//! Runs one case of the review against the project's own processes. See `review/REPORT.md`.

mod cases;
mod fleet;
mod http;
mod platform;
mod record;
mod sys;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use self::{cases::Verdict, record::Record};

/// A run that takes longer counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let running = {
        let record = record.clone();
        thread::spawn(move || cases::run(&case, has_trouble, &record))
    };
    let started = std::time::Instant::now();
    while !running.is_finished() && started.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(50));
    }
    let result = if running.is_finished() {
        let joined = running.join();
        joined.unwrap_or_else(|_| Err("the stand-ins failed".to_owned()))
    } else {
        Err("the time is over".to_owned())
    };
    cases::end_processes();
    let (line, code) = match result {
        Ok(Verdict::Held) => ("held: the rule was not broken".to_owned(), 0),
        Ok(Verdict::Broken(count)) => (format!("broken: {count} times"), 1),
        Err(reason) => (format!("could not run: {reason}"), 2),
    };
    record.add(line.clone());
    if let Err(error) = record.write(&folder.join("record.txt")) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    println!("{line}");
    ExitCode::from(code)
}
