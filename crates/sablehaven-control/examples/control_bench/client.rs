//! A relay's end of a connection, with many clients behind it.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use hdrhistogram::Histogram;
use sablehaven_types::{ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest};
use sablehaven_wire::{
    Connection, ControlToRelay, Hello, PROTOCOL_VERSION, RelayToControl, Role, connect,
};
use tokio::time::timeout;

/// Time for one answer while a leader is looked for.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

pub struct Relay {
    connection: Connection<ControlToRelay, RelayToControl>,
}

/// What the clients behind one relay have seen.
pub struct ClientReport {
    pub granted: u64,
    pub latency_us: Histogram<u64>,
}

fn next_claim() -> LedgerRequest {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    LedgerRequest::Claim {
        key: LedgerKey {
            caller: "bench-caller-1".into(),
            request: format!("request-{number:012}").into(),
            issued_at_ms: now.map_or(0, |now| now.as_millis() as u64),
        },
        claim: ClaimId(number),
        fingerprint: number,
    }
}

impl Relay {
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: "bench".to_owned(),
            role: Role::Relay,
            sender: "bench-relay".to_owned(),
        };
        let connection = connect(address, &hello, Role::Control).await.ok()?;
        Some(Self { connection })
    }

    async fn ask<Wanted>(
        &mut self,
        message: RelayToControl,
        pick: impl Fn(ControlToRelay) -> Option<Wanted>,
    ) -> Option<Wanted> {
        self.connection.writer.send(&message).await.ok()?;
        let answer = async {
            loop {
                if let Some(wanted) = pick(self.connection.reader.receive().await.ok()?) {
                    return Some(wanted);
                }
            }
        };
        timeout(ANSWER_LIMIT, answer).await.ok().flatten()
    }

    /// Whether the replica proves that it leads.
    pub async fn lease(&mut self) -> bool {
        let message = RelayToControl::RequestLease { nonce: 1 };
        let granted = self.ask(message, |message| match message {
            ControlToRelay::Lease(_) => Some(true),
            ControlToRelay::NotLeader { .. } => Some(false),
            _ => None,
        });
        granted.await.unwrap_or(false)
    }

    /// Whether the replica grants a claim.
    pub async fn claim_once(&mut self) -> bool {
        let message = RelayToControl::Ledger(vec![(0, next_claim())]);
        let granted = self.ask(message, |message| match message {
            ControlToRelay::Ledger(replies) => Some(replies.iter().all(|(_, r)| is_granted(r))),
            _ => None,
        });
        granted.await.unwrap_or(false)
    }

    /// Claims with `clients` clients, each of which waits for its answer before it claims again.
    pub async fn claim_until(&mut self, clients: usize, end: Instant) -> ClientReport {
        let mut report = ClientReport {
            granted: 0,
            latency_us: Histogram::new(3).expect("a histogram"),
        };
        let mut sent_at = vec![Instant::now(); clients];
        let mut due: Vec<usize> = (0..clients).collect();
        let mut open = 0;
        loop {
            if Instant::now() < end && !due.is_empty() {
                open += due.len();
                self.send_claims(&mut sent_at, &due).await;
            }
            due.clear();
            if open == 0 {
                return report;
            }
            let message = self.connection.reader.receive().await.expect("an answer");
            let ControlToRelay::Ledger(replies) = message else {
                continue;
            };
            for (client, reply) in replies {
                assert!(is_granted(&reply), "{reply:?}");
                let client = client as usize;
                let latency = sent_at[client].elapsed().as_micros() as u64;
                report.latency_us.record(latency).expect("a latency");
                report.granted += 1;
                open -= 1;
                due.push(client);
            }
        }
    }

    async fn send_claims(&mut self, sent_at: &mut [Instant], clients: &[usize]) {
        let now = Instant::now();
        let calls = clients.iter().map(|client| {
            sent_at[*client] = now;
            (*client as u64, next_claim())
        });
        let message = RelayToControl::Ledger(calls.collect());
        self.connection.writer.send(&message).await.expect("send");
    }
}

fn is_granted(reply: &LedgerReply) -> bool {
    *reply == LedgerReply::Claim(ClaimAnswer::Granted)
}
