//! What the cases with a release of a server share: the load and the check.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{Verdict, client::Request, deployment::Deployment, record::Record, server::Server};

/// Clients, which send to the gateways in turn.
const CLIENTS: usize = 4;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// How long the servers work on each request.
pub const WORK: Duration = Duration::from_millis(200);
/// How long the clients wait.
const DEADLINE_MS: u64 = 15_000;

/// What became of a request.
struct Answered {
    id: String,
    sent_at: Instant,
    status: Option<u16>,
}

/// Clients that send requests until they are stopped.
pub struct Load {
    should_stop: Arc<AtomicBool>,
    answered: Arc<Mutex<Vec<Answered>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(record: &Record, deployment: &Deployment) -> Self {
        let should_stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(Mutex::new(Vec::new()));
        let clients = (0..CLIENTS).map(|client| {
            let gateway = deployment.gateway_address(client % deployment.gateways.len());
            let (record, should_stop) = (record.clone(), Arc::clone(&should_stop));
            let answered = Arc::clone(&answered);
            thread::spawn(move || {
                let mut number = 0;
                while !should_stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client}-{number}");
                    let request =
                        Request::with_deadline("/busca/ficha", "busca.example", &id, DEADLINE_MS);
                    let sent_at = Instant::now();
                    let answer = request.send(gateway, Duration::from_millis(DEADLINE_MS));
                    let status = answer.as_ref().ok().map(|answer| answer.status);
                    let stamp = answer.ok().and_then(|answer| answer.stamp);
                    record.quiet_line(&format!("{id} answered {status:?}, stamp {stamp:?}"));
                    let result = Answered {
                        id,
                        sent_at,
                        status,
                    };
                    answered.lock().expect("answers").push(result);
                    thread::sleep(REQUEST_INTERVAL);
                }
            })
        });
        let clients = clients.collect();
        Self {
            should_stop,
            answered,
            clients,
        }
    }

    fn stop(self) -> Vec<Answered> {
        self.should_stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        std::mem::take(&mut *self.answered.lock().expect("answers"))
    }
}

/// Stops the load. The rule is broken if the old server ran requests after `due_at`, when its draining was due. The
/// record also tells what that cost: requests that broke off as the old server ended at `ended_at`, and requests that
/// were not served afterwards.
pub fn judge(
    record: &Record,
    load: Load,
    old: &Server,
    new: &Server,
    due_at: Instant,
    ended_at: Instant,
) -> Verdict {
    let answered = load.stop();
    let runs = old.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.at > due_at).collect();
    for run in &late {
        let after = run.at.duration_since(due_at).as_millis();
        record.quiet_line(&format!(
            "i-old ran {} {after} ms after its draining was due",
            run.id
        ));
    }
    let is_served = |answered: &Answered| answered.status == Some(200);
    let has_run = |answered: &Answered| runs.iter().any(|run| run.id == answered.id);
    let unserved = answered.iter().filter(|answered| !is_served(answered));
    let (broken_off, refused): (Vec<_>, Vec<_>) = unserved.partition(|answered| has_run(answered));
    for answered in &broken_off {
        let Answered { id, status, .. } = answered;
        record.line(&format!(
            "{id} ran at i-old and broke off with its end: the client got {status:?}"
        ));
    }
    let refused = refused
        .iter()
        .filter(|answered| answered.sent_at > ended_at)
        .count();
    record.line(&format!(
        "i-old ran {} requests, {} of them after its draining was due, {} of these broke off; i-new ran {}; after the \
         end of i-old {refused} requests were not served",
        runs.len(),
        late.len(),
        broken_off.len(),
        new.runs().len()
    ));
    match late.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
