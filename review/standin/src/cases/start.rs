//! One core process is killed once while the deployment starts for the first time, and started again half a second
//! later.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{Verdict, configuration, serve_for, set_fleet, start_servers, with_fleet};
use crate::{
    fleet::{CONTACT, Fleet},
    platform::List,
    record::Record,
    sys,
};

/// `ack_ms` of the site file.
const ACK: Duration = Duration::from_secs(6);
/// Time between the starts of the first machines and of the last one; `late_seeds_ms` of the site file allows 300 ms.
const LATE_START: Duration = Duration::from_millis(200);

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let list = List::start();
    let _servers = start_servers(&list, Duration::from_millis(50), record);
    set_fleet(Fleet::prepare(&list, record)?);
    with_fleet(|fleet| {
        fleet.start_control(0, true)?;
        fleet.start_control(1, true)?;
        for index in 0..3 {
            fleet.start_gateway(index, true)?;
        }
        thread::sleep(LATE_START / 2);
        if has_trouble {
            record.add("SIGKILL to control-2");
            fleet.controls[1].signal(sys::SIGKILL);
            fleet.controls[1].kill();
        }
        thread::sleep(LATE_START / 2);
        fleet.start_control(2, true)?;
        thread::sleep(Duration::from_millis(400));
        if has_trouble {
            // The deployment is not started for the first time any more.
            fleet.start_control(1, false)?;
        }
        Ok::<(), String>(())
    })?;
    let started = Instant::now();
    let acknowledged = with_fleet(|fleet| fleet.put(&configuration()));
    let waited = started.elapsed();
    if acknowledged.is_ok() {
        for index in 0..3 {
            with_fleet(|fleet| fleet.wait_until_ready(index))?;
        }
    }
    let (served, sent) = serve_for(Duration::from_secs(8), 0, record);
    record.add(format!(
        "configuration acknowledged: {}, after {:.1} s; {served} of {sent} requests served",
        acknowledged.is_ok(),
        waited.as_secs_f64()
    ));
    // The core is stable from `contact_ms` after the start of the killed process.
    let is_overdue = waited > CONTACT + ACK;
    Ok(match acknowledged {
        Err(_) if is_overdue => Verdict::Broken(1),
        _ => Verdict::Held,
    })
}
