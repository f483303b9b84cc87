//! The cases, and what they share.

mod list;
mod lost;
mod start;
mod upload;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Fleet, ZONES},
    http,
    platform::{List, Server, Work},
    record::Record,
};

/// `recovery_s` of the site file.
const RECOVERY: Duration = Duration::from_secs(12);

pub enum Verdict {
    Held,
    /// The rule was broken this often.
    Broken(usize),
}

/// The processes of the run, so that they can be ended if it takes too long.
static FLEET: Mutex<Option<Fleet>> = Mutex::new(None);

/// Ends all processes of the run.
pub fn end_processes() {
    if let Ok(mut fleet) = FLEET.try_lock() {
        drop(fleet.take());
    }
    // A run that hangs or has failed may hold the lock; its processes are ended through their ids.
    fleet::kill_all();
}

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "lost" => lost::run(has_trouble, record),
        "list" => list::run(has_trouble, record),
        "start" => start::run(has_trouble, record),
        "upload" => upload::run(has_trouble, record),
        _ => Err(format!("no case '{case}'")),
    }
}

/// A route that may run at most once and a safe one, with times of the routes of `tareas-busca`.
fn configuration() -> String {
    r#"{"version":3,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/","kind":"non_idempotent",
"timeout_ms":15000,"aim_ms":1000,"priority":2,"service":"s","max_attempts":2},
{"name":"q","host":"h.example","path_prefix":"/q/","kind":"safe",
"timeout_ms":4000,"aim_ms":250,"priority":1,"service":"s","max_attempts":2}],
"services":[{"name":"s","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

/// Starts a server of the service in each zone, which works for this time on each request.
fn start_servers(list: &List, work: Duration, record: &Record) -> Vec<Server> {
    let work = Work {
        duration: work,
        body: vec![b'a'; 3_000],
    };
    let zones = ZONES.iter().enumerate();
    zones
        .map(|(number, (zone, _))| Server::start(list, "s", number, zone, work.clone(), record))
        .collect()
}

fn set_fleet(fleet: Fleet) {
    *lock_fleet() = Some(fleet);
}

fn lock_fleet() -> MutexGuard<'static, Option<Fleet>> {
    FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

fn with_fleet<Output>(act: impl FnOnce(&mut Fleet) -> Output) -> Output {
    let mut fleet = lock_fleet();
    act(fleet.as_mut().expect("processes"))
}

/// Clients of all zones send requests for a time, ten a second. Returns how many were served, and how many were sent.
fn serve_for(duration: Duration, first: usize, record: &Record) -> (usize, usize) {
    let started = Instant::now();
    let mut clients = Vec::new();
    while started.elapsed() < duration {
        let id = format!("{:016x}", 0xc000 + first + clients.len());
        let zone = clients.len() % 3;
        let record = record.clone();
        clients.push(thread::spawn(move || serve_one(&id, zone, &record)));
        thread::sleep(Duration::from_millis(100));
    }
    let sent = clients.len();
    let served = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .filter(|served| *served)
        .count();
    record.add(format!("{served} of {sent} requests were served"));
    (served, sent)
}

/// One client's request: up to three tries within four seconds, each as the directory says and with an id of its own.
fn serve_one(id: &str, zone: usize, record: &Record) -> bool {
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut seen = Vec::new();
    for attempt in 0..3 {
        // The zone's own directory first, then the others.
        let addresses = (0..3).map(|step| with_fleet(|fleet| fleet.resolve((zone + step) % 3)));
        let address = addresses.flatten().next();
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let Some(address) = address else {
            seen.push("no address".to_owned());
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        let request = format!(
            "GET /q/x HTTP/1.1\r\nHost: h.example\r\nX-Sablehaven-Request-Id: {id}-{attempt}\r\n\
             X-Sablehaven-Deadline-Ms: {left}\r\n"
        );
        match http::call(address, &request, b"") {
            Ok(answer) if answer.status() == 200 => return true,
            Ok(answer) => {
                seen.push(format!("{} from {address}", answer.status()));
                let pause = answer
                    .header("retry-after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0.3);
                thread::sleep(Duration::from_secs_f64(pause));
            }
            Err(error) => {
                seen.push(format!("{error} from {address}"));
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
    record.add(format!("{id} is not served: {}", seen.join(", ")));
    false
}
