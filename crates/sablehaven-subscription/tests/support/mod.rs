//! A scripted relay on the loopback interface.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use sablehaven_subscription::{AgentIdentity, Config, Subscription};
use sablehaven_types::{ClaimAnswer, LedgerReply, Placement};
use sablehaven_wire::{
    AgentToRelay, Hello, LeaseGrant, PROTOCOL_VERSION, RelayToAgent, Role, StateUpdate, accept,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::broadcast,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Timeout of every wait. Far longer than needed on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// How the scripted relay handles ledger calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerScript {
    /// Grants each claim.
    Answer,
    /// Receives the call and sends no reply.
    Ignore,
}

/// The behaviour of the scripted relay, and what it has received.
#[derive(Clone, Debug)]
pub struct Script {
    /// The full state that is sent to an agent with a smaller revision.
    pub state: StateUpdate,
    /// Whether lease requests are granted.
    pub grants: bool,
    /// The duration of leases, in milliseconds.
    pub lease_ms: u64,
    /// The revision in the grants.
    pub grant_revision: u64,
    /// How ledger calls are handled.
    pub ledger: LedgerScript,
    /// All messages received from agents, in order.
    pub received: Vec<AgentToRelay>,
    /// Number of accepted connections.
    pub connections: u32,
}

/// A scripted relay.
pub struct RelayDouble {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    outgoing: broadcast::Sender<RelayToAgent>,
    tasks: JoinSet<()>,
}

impl RelayDouble {
    /// Starts a relay that has the state of `revision` and grants leases for it.
    pub async fn start(revision: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let script = Script {
            state: full_update(revision),
            grants: true,
            lease_ms: 3_000,
            grant_revision: revision,
            ledger: LedgerScript::Answer,
            received: Vec::new(),
            connections: 0,
        };
        let script = Arc::new(Mutex::new(script));
        let (outgoing, _) = broadcast::channel(1_024);
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, script.clone(), outgoing.clone()));
        Self {
            address,
            script,
            outgoing,
            tasks,
        }
    }

    pub fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().expect("script")
    }

    /// Sends a message to every connected agent.
    pub fn send(&self, message: RelayToAgent) {
        self.outgoing.send(message).expect("an agent is connected");
    }

    /// Advances the relay's state to the update's revision and sends the update to every connected agent.
    pub fn advance(&self, update: StateUpdate) {
        let mut script = self.script();
        script.grant_revision = update.revision;
        script.state = full_update(update.revision);
        drop(script);
        self.send(RelayToAgent::Update(update));
    }

    /// Closes the listener and every connection.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }

    pub fn has_received(&self, matches: impl Fn(&AgentToRelay) -> bool) -> bool {
        self.script().received.iter().any(matches)
    }
}

async fn serve(
    listener: TcpListener,
    script: Arc<Mutex<Script>>,
    outgoing: broadcast::Sender<RelayToAgent>,
) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, peer) = listener.accept().await.expect("accept");
        script.lock().expect("script").connections += 1;
        connections.spawn(serve_connection(
            stream,
            peer,
            script.clone(),
            outgoing.subscribe(),
        ));
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    script: Arc<Mutex<Script>>,
    mut outgoing: broadcast::Receiver<RelayToAgent>,
) {
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        deployment: "trinacria".to_owned(),
        role: Role::Relay,
        sender: "relay-double".to_owned(),
    };
    let Ok(connection) = accept(stream, peer, &hello).await else {
        return;
    };
    let mut connection = connection.retype::<AgentToRelay, RelayToAgent>();
    loop {
        let reply = tokio::select! {
            received = connection.reader.receive() => {
                let Ok(message) = received else { return };
                answer(&script, message)
            }
            Ok(message) = outgoing.recv() => Some(message),
        };
        let Some(reply) = reply else { continue };
        if connection.writer.send(&reply).await.is_err() {
            return;
        }
    }
}

fn answer(script: &Mutex<Script>, message: AgentToRelay) -> Option<RelayToAgent> {
    let mut script = script.lock().expect("script");
    script.received.push(message.clone());
    match message {
        AgentToRelay::Watch { revision, .. } if script.state.revision > revision => {
            Some(RelayToAgent::Update(script.state.clone()))
        }
        AgentToRelay::RequestLease { nonce } if script.grants => {
            Some(RelayToAgent::Lease(LeaseGrant {
                nonce,
                age_ms: 0,
                duration_ms: script.lease_ms,
                revision: script.grant_revision,
                configuration_version: 1,
            }))
        }
        AgentToRelay::Ledger { call, .. } if script.ledger == LedgerScript::Answer => {
            let reply = LedgerReply::Claim(ClaimAnswer::Granted);
            Some(RelayToAgent::Ledger { call, reply })
        }
        _ => None,
    }
}

pub fn full_update(revision: u64) -> StateUpdate {
    StateUpdate {
        full: true,
        revision,
        configuration_version: revision,
        ..StateUpdate::default()
    }
}

pub fn delta_update(from_revision: u64, revision: u64) -> StateUpdate {
    StateUpdate {
        full: false,
        from_revision,
        ..full_update(revision)
    }
}

/// Starts a subscription with short delays to the relays, in the given order of preference.
pub fn subscribe(relays: &[&RelayDouble]) -> Subscription {
    let config = Config {
        relays: relays.iter().map(|relay| relay.address).collect(),
        deployment: "trinacria".to_owned(),
        lease_request_interval_ms: 50,
        lease_wait_ms: 2_000,
        retry_minimum_ms: 10,
        retry_maximum_ms: 100,
        failover_jitter_ms: 5,
        observation_interval_ms: 10,
        ..Config::default()
    };
    let identity = AgentIdentity {
        agent: "agent-1".into(),
        placement: Placement {
            region: "west".into(),
            zone: "west-1".into(),
        },
        interest: ["stock.Search".into()].into(),
    };
    Subscription::start(config, identity)
}

/// Waits until `condition` holds. `what` describes the condition in the panic message.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_TIMEOUT, poll)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}
