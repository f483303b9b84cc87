//! The platform's list gets an entry of another writer; then every process is killed and comes back.

use std::{thread, time::Duration};

use super::{RECOVERY, Verdict, configuration, serve_for, set_fleet, start_servers, with_fleet};
use crate::{
    fleet::{CONTACT, Fleet},
    platform::List,
    record::Record,
};

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let list = List::start();
    let _servers = start_servers(&list, Duration::from_millis(50), record);
    set_fleet(Fleet::start(&list, &configuration(), record)?);
    thread::sleep(CONTACT);
    let before = serve_for(Duration::from_secs(6), 0, record);
    if has_trouble {
        let entry = std::env::var("ENTRY").unwrap_or_else(|_| FOREIGN_ENTRY.to_owned());
        if !entry.is_empty() {
            record.add(format!("the platform's list has one more entry: {entry}"));
            list.add_entry(&entry);
        }
        thread::sleep(Duration::from_secs(3));
        serve_for(Duration::from_secs(4), 1_000, record);
        with_fleet(|fleet| fleet.kill_all_and_restart(Duration::from_secs(1)))?;
        thread::sleep(RECOVERY);
    }
    let after = serve_for(Duration::from_secs(15), 2_000, record);
    record.add(format!(
        "served before: {} of {}, after: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    let is_broken = 4 * before.0 >= before.1 && 4 * after.0 < after.1;
    Ok(if is_broken {
        Verdict::Broken(1)
    } else {
        Verdict::Held
    })
}

/// An entry whose id ends in the first half of a surrogate pair, as a writer leaves it that cuts a name in the middle.
const FOREIGN_ENTRY: &str = r#"{"id":"i-7f3a\ud83d","service":"s","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":4,"state":"ready","warmup_left_ms":0}"#;
