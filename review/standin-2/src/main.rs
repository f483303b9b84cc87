//! Stand-ins of the platform, its servers, its operator and its clients for the scripts of the second review. Each case
//! starts the program of the deploy file as separate processes on loopback addresses.

mod cases;
mod client;
mod deployment;
mod http;
mod list;
mod operator;
mod record;
mod server;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(record_path);
    let verdict = match case.as_str() {
        "slow-reader" => cases::slow_reader::run(&record, is_troubled),
        "stop-queue" => cases::stop_queue::run(&record, is_troubled),
        "list-moved" => cases::list_moved::run(&record, is_troubled),
        "foreign-answer" => cases::spoiled::run_foreign_answer(&record, is_troubled),
        "interim" => cases::spoiled::run_interim(&record, is_troubled),
        "twice" => cases::spoiled::run_twice(&record, is_troubled),
        other => Verdict::CouldNotRun(format!("there is no case {other}")),
    };
    match verdict {
        Verdict::Held => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            record.line(&format!("verdict: the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
