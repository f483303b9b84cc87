//! A client that speaks to a control replica as a relay and carries the claims of many clients.

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

/// Longest time to wait for a reply while searching for the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

pub struct Relay {
    connection: Connection<ControlToRelay, RelayToControl>,
}

/// Results of the clients behind one relay.
pub struct ClientResults {
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

    async fn call<Selected>(
        &mut self,
        message: RelayToControl,
        select: impl Fn(ControlToRelay) -> Option<Selected>,
    ) -> Option<Selected> {
        self.connection.writer.send(&message).await.ok()?;
        let reply = async {
            loop {
                if let Some(selected) = select(self.connection.reader.receive().await.ok()?) {
                    return Some(selected);
                }
            }
        };
        timeout(REPLY_TIMEOUT, reply).await.ok().flatten()
    }

    /// Whether the replica grants a lease, which proves that it is the leader.
    pub async fn request_lease(&mut self) -> bool {
        let message = RelayToControl::RequestLease { nonce: 1 };
        let granted = self.call(message, |message| match message {
            ControlToRelay::Lease(_) => Some(true),
            ControlToRelay::NotLeader { .. } => Some(false),
            _ => None,
        });
        granted.await.unwrap_or(false)
    }

    /// Whether the replica grants one new claim.
    pub async fn claim_once(&mut self) -> bool {
        let message = RelayToControl::Ledger(vec![(0, next_claim())]);
        let granted = self.call(message, |message| match message {
            ControlToRelay::Ledger(replies) => {
                Some(replies.iter().all(|(_, reply)| is_granted(reply)))
            }
            _ => None,
        });
        granted.await.unwrap_or(false)
    }

    /// Sends claims from `clients` clients until `end`. Each client waits for its reply before it claims
    /// again.
    pub async fn claim_until(&mut self, clients: usize, end: Instant) -> ClientResults {
        let mut results = ClientResults {
            granted: 0,
            latency_us: Histogram::new(3).expect("a histogram"),
        };
        let mut sent_at = vec![Instant::now(); clients];
        let mut idle_clients: Vec<usize> = (0..clients).collect();
        let mut outstanding = 0;
        loop {
            if Instant::now() < end && !idle_clients.is_empty() {
                outstanding += idle_clients.len();
                self.send_claims(&mut sent_at, &idle_clients).await;
            }
            idle_clients.clear();
            if outstanding == 0 {
                return results;
            }
            let message = self.connection.reader.receive().await.expect("a reply");
            let ControlToRelay::Ledger(replies) = message else {
                continue;
            };
            for (client, reply) in replies {
                assert!(is_granted(&reply), "{reply:?}");
                let client = client as usize;
                let latency_us = sent_at[client].elapsed().as_micros() as u64;
                results.latency_us.record(latency_us).expect("a latency");
                results.granted += 1;
                outstanding -= 1;
                idle_clients.push(client);
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
