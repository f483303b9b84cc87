//! A core process is killed while the core elects its first leader and is down for some seconds. Meanwhile a
//! configuration is acknowledged, and another core machine loses its disk. Then all three run again.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::{
    RECOVERY, Verdict, configuration, end_processes, set_fleet, start_servers, with_fleet,
};
use crate::{
    fleet::{CONTACT, Fleet, Process},
    platform::List,
    record::Record,
    sys,
};

/// No further deployment is started after this time: a whole scenario takes 30 s.
const LATEST_TRY: Duration = Duration::from_secs(75);
/// Delay between the line about the first election and the kill, in steps over the tries.
const KILL_DELAY_STEP: Duration = Duration::from_micros(500);
const KILL_DELAY_STEPS: u32 = 8;
/// Time within which three new core processes elect their first leader.
const FIRST_ELECTION: Duration = Duration::from_secs(2);

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let list = List::start();
    let _servers = start_servers(&list, Duration::from_millis(50), record);
    let started = Instant::now();
    let mut has_run = false;
    for attempt in 1u32.. {
        if started.elapsed() > LATEST_TRY {
            break;
        }
        record.add(format!("try {attempt}: a new deployment starts"));
        set_fleet(Fleet::prepare(&list, record)?);
        with_fleet(|fleet| (0..3).try_for_each(|index| fleet.start_control(index, true)))?;
        if !has_trouble {
            return acknowledge_and_lose_a_disk(0, has_trouble, record);
        }
        let delay = KILL_DELAY_STEP * (1 + attempt % KILL_DELAY_STEPS);
        if let Some(first) = kill_in_first_election(delay, record) {
            has_run = true;
            let verdict = acknowledge_and_lose_a_disk(first, has_trouble, record)?;
            if matches!(verdict, Verdict::Broken(_)) {
                return Ok(verdict);
            }
        }
        end_processes();
    }
    if has_run {
        return Ok(Verdict::Held);
    }
    Err("no process was caught in the first election".to_owned())
}

/// Kills the process that first takes part in an election, before it has the log. Returns which one it is.
fn kill_in_first_election(delay: Duration, record: &Record) -> Option<usize> {
    let logs: Vec<_> = with_fleet(|fleet| fleet.controls.iter().map(Process::log_path).collect());
    let started = Instant::now();
    while started.elapsed() < FIRST_ELECTION && !logs.iter().all(|path| has_leader(path)) {
        for (index, path) in logs.iter().enumerate() {
            if !is_in_election_without_log(path) {
                continue;
            }
            // It stores the term that it has just heard of.
            thread::sleep(delay);
            with_fleet(|fleet| {
                fleet.controls[index].signal(sys::SIGKILL);
                fleet.controls[index].kill();
            });
            record.add(format!("SIGKILL to control-{} after {delay:?}", index + 1));
            // It may have received the log between its line and the signal.
            return is_in_election_without_log(path).then_some(index);
        }
    }
    None
}

/// Whether the latest line about the leadership tells of a term and of no members.
fn is_in_election_without_log(path: &Path) -> bool {
    let line = leadership_line(path);
    line.contains("\"voters\":0") && !line.contains("\"term\":0")
}

/// Whether the latest line about the leadership names a leader and the three members.
fn has_leader(path: &Path) -> bool {
    let line = leadership_line(path);
    line.contains("\"voters\":3") && !line.contains("\"leader\":null")
}

/// The latest line about the leadership in a log.
fn leadership_line(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let mut lines = text.lines().rev();
    let latest = lines.find(|line| line.contains("\"event\":\"leadership\""));
    latest.unwrap_or_default().to_owned()
}

fn acknowledge_and_lose_a_disk(
    first: usize,
    has_trouble: bool,
    record: &Record,
) -> Result<Verdict, String> {
    let (second, third) = ((first + 1) % 3, (first + 2) % 3);
    with_fleet(|fleet| fleet.put(&configuration()))?;
    with_fleet(|fleet| (0..3).try_for_each(|index| fleet.start_gateway(index, true)))?;
    for index in 0..3 {
        with_fleet(|fleet| fleet.wait_until_ready(index))?;
    }
    if has_trouble {
        with_fleet(|fleet| {
            fleet.controls[second].signal(sys::SIGKILL);
            fleet.controls[second].kill();
            fleet.controls[second].lose_disk()?;
            record.add(format!(
                "control-{} is killed and loses its disk",
                second + 1
            ));
            thread::sleep(Duration::from_millis(2_500));
            fleet.start_control(second, false)?;
            fleet.start_control(first, false)
        })?;
        record.add(format!(
            "all core processes run; control-{} ran all the time",
            third + 1
        ));
    }
    let started = Instant::now();
    let mut read = None;
    while read.is_none() && started.elapsed() < RECOVERY + 2 * CONTACT {
        thread::sleep(Duration::from_millis(300));
        read = (0..3).find_map(|index| with_fleet(|fleet| fleet.read_configuration(index)));
    }
    record.add(format!(
        "the configuration is read back: {}",
        read.is_some()
    ));
    let is_whole = read.is_some_and(|text| text == configuration());
    Ok(if is_whole {
        Verdict::Held
    } else {
        Verdict::Broken(1)
    })
}
