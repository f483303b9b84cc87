//! Faulty servers that send more bytes after some of their whole answers. The bytes arrive late, in the place where the
//! next answer on the connection is expected, and carry no request id.

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
    server::{Run, Server, Surplus},
};

/// How long the server is faulty.
const FAULTY_FOR: Duration = Duration::from_secs(5);
/// One in so many answers is followed by more bytes: 0.03 of them.
const ANSWERS_PER_SURPLUS: u64 = 34;
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
    let outcome = match play(record, is_troubled, "safe", Surplus::CopyWithoutId) {
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
        "{} answers, {} sent surplus, {} clients got the answer to another request",
        outcome.answers.len(),
        outcome.sent_surplus,
        foreign.len()
    ));
    match foreign.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// The surplus says that a request was not executed, without an id: does a request that may run once run twice?
pub fn run_twice(record: &Record, is_troubled: bool) -> Verdict {
    let outcome = match play(record, is_troubled, "non_idempotent", Surplus::NotExecuted) {
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
        "{} answers, {} sent surplus, {} requests ran more than once",
        outcome.answers.len(),
        outcome.sent_surplus,
        twice.len()
    ));
    match twice.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// What clients and servers saw.
struct Outcome {
    answers: Vec<Answered>,
    runs: Vec<(String, Run)>,
    sent_surplus: u64,
}

fn play(
    record: &Record,
    is_troubled: bool,
    kind: &str,
    surplus: Surplus,
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
        record.line("i-1 and i-2 send more after one in 34 of their answers for 5 s");
        set_surplus(
            &servers[..FAULTY_SERVERS],
            Some((surplus, ANSWERS_PER_SURPLUS)),
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
    set_surplus(&servers[..FAULTY_SERVERS], None);
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
        sent_surplus: servers.iter().map(Server::sent_surplus).sum(),
    })
}

fn set_surplus(servers: &[Server], surplus: Option<(Surplus, u64)>) {
    for server in servers {
        server.set_surplus(surplus);
    }
}
