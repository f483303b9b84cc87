//! The settings files name another address of the platform's list, SIGHUP tells so, and then a server is released: a
//! new one starts, the old one drains and ends.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    START_TIMEOUT, configuration,
    release::{Load, WORK, judge},
};
use crate::{
    Verdict,
    deployment::Deployment,
    list::{List, entry},
    operator,
    record::Record,
    server::Server,
};

/// `contact_ms` of the settings, and a second for the settings to be read.
const CONTACT: Duration = Duration::from_secs(6);
/// How many of the five processes get SIGHUP: a share of 0.6. They are the control replicas.
const SIGNALLED: usize = 3;
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_secs(3);
/// How long the new server is listed before the old one drains.
const NEW_SERVES_FIRST: Duration = Duration::from_secs(3);
/// How long the old server serves after it first appears as draining: `drain_ms` and a little more.
const SERVES_ON: Duration = Duration::from_secs(6);
/// How long requests are sent after the old server has ended.
const AFTERWARDS: Duration = Duration::from_secs(5);

pub fn run(record: &Record, is_troubled: bool) -> Verdict {
    let first_list = List::start();
    let start = |id: &str| Server::start(id, b"ran ".to_vec(), WORK);
    let (old, new) = (start("i-old"), start("i-new"));
    let old_entry = |state| entry("i-old", "libreta", old.address, "sala-cordon", state);
    first_list.set("i-old", old_entry("ready"));
    let mut deployment = Deployment::start(3, 2, first_list.address);
    let configuration = configuration(1, "non_idempotent", "libreta", 15_000);
    if !operator::put(
        &deployment.control_addresses(),
        &configuration,
        START_TIMEOUT,
    ) {
        return Verdict::CouldNotRun("the configuration was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(START_TIMEOUT) {
        return Verdict::CouldNotRun("the gateways are not ready".to_owned());
    }
    let load = Load::start(record, &deployment);
    let mut list = first_list.clone();
    if is_troubled {
        list = List::start();
        list.set("i-old", old_entry("ready"));
        record.line(&format!(
            "the list moves from {} to {}: all settings files name it, SIGHUP to 3 of the 5 processes",
            first_list.address, list.address
        ));
        deployment.move_list(list.address, SIGNALLED);
    }
    thread::sleep(CONTACT);
    record.line("the list shows i-new as ready");
    list.set(
        "i-new",
        entry("i-new", "libreta", new.address, "sala-cordon", "ready"),
    );
    thread::sleep(NEW_SERVES_FIRST);
    record.line("the list shows i-old as draining");
    list.set("i-old", old_entry("draining"));
    let drained_at = Instant::now();
    thread::sleep(SERVES_ON);
    record.line("i-old ends and is gone from the list");
    let ended_at = Instant::now();
    old.end();
    list.remove("i-old");
    thread::sleep(AFTERWARDS);
    judge(record, load, &old, &new, drained_at + DRAIN, ended_at)
}
