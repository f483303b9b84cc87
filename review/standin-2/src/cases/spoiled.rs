//! Faulty servers that spoil some of their answers.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{START_TIMEOUT, configuration};
use crate::{
    Verdict,
    client::Connection,
    deployment::Deployment,
    list::{List, entry},
    operator,
    record::Record,
    server::{Run, Server, Spoiling},
};

/// How long the server is faulty.
const FAULTY_FOR: Duration = Duration::from_secs(5);
/// One in so many answers is spoiled: 0.03 of them.
const ANSWERS_PER_SPOILED: u64 = 34;
/// How many of the four servers are faulty: a share of 0.5.
const FAULTY_SERVERS: usize = 2;
/// Gateways.
const GATEWAYS: u8 = 3;
/// Clients, each with one connection to one gateway.
const CLIENTS: usize = 24;
/// How long the clients wait.
const DEADLINE_MS: u64 = 15_000;

/// An answer that a client received.
struct Answered {
    id: String,
    status: u16,
    body: String,
    stamp: String,
}

/// The surplus is a copy of the answer before it, without the id: does a client get it?
pub fn run_foreign_answer(record: &Record, is_troubled: bool) -> Verdict {
    let outcome = match play(record, is_troubled, "safe", Spoiling::CopyWithoutId) {
        Ok(outcome) => outcome,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let foreign = outcome
        .answers
        .iter()
        .filter(|answer| answer.status == 200 && answer.body != format!("ran {}", answer.id));
    let foreign: Vec<_> = foreign.collect();
    for answer in &foreign {
        let Answered {
            id, body, stamp, ..
        } = answer;
        record.line(&format!(
            "the client of {id} got 200 with the body '{body}', stamp {stamp}"
        ));
    }
    record.line(&format!(
        "{} answers, {} spoiled answers, {} clients got the answer to another request",
        outcome.answers.len(),
        outcome.spoiled,
        foreign.len()
    ));
    match foreign.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// The surplus says that a request was not executed, without an id: does a request that may run once run twice?
pub fn run_twice(record: &Record, is_troubled: bool) -> Verdict {
    let outcome = match play(record, is_troubled, "non_idempotent", Spoiling::NotExecuted) {
        Ok(outcome) => outcome,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (server, run) in &outcome.runs {
        runs.entry(&run.id).or_default().push(server);
    }
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    for (id, servers) in &twice {
        record.line(&format!("{id} ran at {servers:?}"));
    }
    record.line(&format!(
        "{} answers, {} spoiled answers, {} requests ran more than once",
        outcome.answers.len(),
        outcome.spoiled,
        twice.len()
    ));
    match twice.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Instead of its answer, a faulty server sends the head of an interim response: does a client get that?
pub fn run_interim(record: &Record, is_troubled: bool) -> Verdict {
    let spoiling = Spoiling::SwitchingProtocols;
    let outcome = match play(record, is_troubled, "non_idempotent", spoiling) {
        Ok(outcome) => outcome,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let interim = outcome.answers.iter().filter(|answer| answer.status < 200);
    let interim: Vec<_> = interim.collect();
    for answer in &interim {
        let Answered { id, status, .. } = answer;
        record.line(&format!(
            "the client of {id} got {status}, and then the end of its connection"
        ));
    }
    record.line(&format!(
        "{} answers, {} spoiled answers, {} clients got bytes that are no answer",
        outcome.answers.len(),
        outcome.spoiled,
        interim.len()
    ));
    match interim.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// What clients and servers saw.
struct Outcome {
    answers: Vec<Answered>,
    runs: Vec<(String, Run)>,
    spoiled: u64,
}

fn play(
    record: &Record,
    is_troubled: bool,
    kind: &str,
    spoiling: Spoiling,
) -> Result<Outcome, String> {
    let list = List::start();
    let start = |id: &str| Server::start(id, b"ran ".to_vec(), Duration::from_millis(5));
    let servers = ["i-1", "i-2", "i-3", "i-4"].map(start);
    for server in &servers {
        let id = &server.id;
        list.set(
            id,
            entry(id, "libreta", server.address, "sala-cordon", "ready"),
        );
    }
    let deployment = Deployment::start(3, GATEWAYS, list.address);
    let configuration = configuration(1, kind, "libreta", DEADLINE_MS);
    if !operator::put(
        &deployment.control_addresses(),
        &configuration,
        START_TIMEOUT,
    ) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(START_TIMEOUT) {
        return Err("the gateways are not ready".to_owned());
    }
    // Calm for `contact_ms`, so that every machine is in touch.
    thread::sleep(Duration::from_secs(6));
    if is_troubled {
        record.line("i-1 and i-2 spoil one in 34 of their answers for 5 s");
        set_spoiling(
            &servers[..FAULTY_SERVERS],
            Some((spoiling, ANSWERS_PER_SPOILED)),
        );
    }
    let answers = Arc::new(Mutex::new(Vec::new()));
    let ends_at = Instant::now() + FAULTY_FOR;
    let clients = (0..CLIENTS).map(|client| {
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        let gateway = deployment.gateway_address(client % deployment.gateways.len());
        thread::spawn(move || {
            let mut connection = Connection::new(gateway);
            let mut number = 0;
            while Instant::now() < ends_at {
                number += 1;
                let id = format!("c{client}-{number}");
                match connection.call("/busca/ficha", "busca.example", &id, DEADLINE_MS) {
                    Ok(answer) => {
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        let stamp = answer.stamp.unwrap_or_default();
                        record.quiet_line(&format!(
                            "{id} answered {}: '{body}', stamp {stamp}",
                            answer.status
                        ));
                        let status = answer.status;
                        answers.lock().expect("answers").push(Answered {
                            id,
                            status,
                            body,
                            stamp,
                        });
                    }
                    Err(error) => record.line(&format!("{id} failed: {error}")),
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    set_spoiling(&servers[..FAULTY_SERVERS], None);
    let mut runs = Vec::new();
    for server in &servers {
        for run in server.runs() {
            record.quiet_line(&format!("{} ran {}", server.id, run.id));
            runs.push((server.id.clone(), run));
        }
    }
    let answers = std::mem::take(&mut *answers.lock().expect("answers"));
    Ok(Outcome {
        answers,
        runs,
        spoiled: servers.iter().map(Server::spoiled).sum(),
    })
}

fn set_spoiling(servers: &[Server], spoiling: Option<(Spoiling, u64)>) {
    for server in servers {
        server.set_spoiling(spoiling);
    }
}
