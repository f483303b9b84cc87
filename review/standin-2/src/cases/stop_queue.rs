//! A planned stop of a gateway while some of its requests wait for a connection to their server.

use std::{
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;

use super::{START_TIMEOUT, configuration};
use crate::{
    Verdict,
    client::Request,
    deployment::Deployment,
    list::{List, entry},
    operator,
    record::Record,
    server::Server,
};

/// How long the server works on each request.
const WORK: Duration = Duration::from_secs(2);
/// Requests that are sent together: four times as many as the server works on at once.
const REQUESTS: usize = 20;
/// When the requests are sent, after the signal.
const SENT_AFTER: Duration = Duration::from_millis(500);
/// How long the clients wait.
const DEADLINE_MS: u64 = 15_000;
/// The time for a planned stop, as in the settings.
const GRACE: Duration = Duration::from_secs(6);

pub fn run(record: &Record, is_troubled: bool) -> Verdict {
    let list = List::start();
    let server = Server::start("i-1", b"ran ".to_vec(), WORK);
    let server_entry = entry("i-1", "libreta", server.address, "sala-cordon", "ready");
    list.set("i-1", server_entry);
    let mut deployment = Deployment::start(3, 2, list.address);
    let configuration = configuration(1, "safe", "libreta", DEADLINE_MS);
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
    // Calm for `contact_ms`, so that every machine is in touch.
    thread::sleep(Duration::from_secs(6));
    let gateway = deployment.gateway_address(0);
    let started = Instant::now();
    if is_troubled {
        record.line("SIGTERM to gateway 0");
        deployment.gateways[0].signal(Signal::SIGTERM);
    }
    let clients = (0..REQUESTS).map(|number| {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep((started + SENT_AFTER).saturating_duration_since(Instant::now()));
            let id = format!("stop-{number}");
            record.quiet_line(&format!("{id} sent"));
            let request = Request::with_deadline("/busca/ficha", "busca.example", &id, DEADLINE_MS);
            let answer = request.send(gateway, Duration::from_millis(DEADLINE_MS));
            match &answer {
                Ok(answer) => record.line(&format!("{id} answered {}", answer.status)),
                Err(error) => record.line(&format!("{id} ended without an answer: {error}")),
            }
            (id, answer.is_ok())
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut has_exited = false;
    while started.elapsed() < GRACE {
        if !has_exited && deployment.gateways[0].has_exited() {
            has_exited = true;
            let after = started.elapsed().as_millis();
            record.line(&format!("gateway 0 exited {after} ms after the signal"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if is_troubled && !has_exited {
        record.line("the time for the stop is over: SIGKILL to gateway 0");
        deployment.gateways[0].kill();
    }
    let results: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let ran: Vec<String> = server.runs().into_iter().map(|run| run.id).collect();
    let mut lost = 0;
    for (id, is_answered) in &results {
        let was_passed_on = ran.contains(id);
        record.line(&format!(
            "{id}: passed on to the server: {was_passed_on}, answered: {is_answered}"
        ));
        // A request that the server was still working on in the last sixth of the time for the stop is not counted.
        lost += usize::from(!was_passed_on && !is_answered);
    }
    record.line(&format!(
        "{lost} of {} requests were read, never passed on and never answered",
        results.len()
    ));
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
