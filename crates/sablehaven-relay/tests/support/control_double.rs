//! Test double of a control replica, served on loopback.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use sablehaven_types::{ClaimAnswer, LedgerReply, LedgerRequest};
use sablehaven_wire::{
    ControlToRelay, Hello, LeaseGrant, PROTOCOL_VERSION, RelayToControl, Role, StateUpdate, accept,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::broadcast,
    task::JoinSet,
};

/// Deployment name used by all test doubles.
pub const DEPLOYMENT: &str = "trinacria";

/// Scripted behavior of the replica.
#[derive(Clone, Debug)]
pub struct Script {
    /// The full state, sent to a relay that watches from an older revision.
    pub state: StateUpdate,
    /// Whether the replica stays silent. A frozen replica keeps its connections open but sends
    /// nothing.
    pub frozen: bool,
    /// Whether the replica is the leader.
    pub leads: bool,
    /// The leader that the replica names while it is not the leader itself.
    pub leader: Option<SocketAddr>,
    /// Lease duration, in milliseconds.
    pub lease_ms: u64,
    /// Whether the replica answers ledger calls.
    pub answers_ledger: bool,
    /// All messages received from relays, in order.
    pub received: Vec<RelayToControl>,
}

/// Test double of a control replica.
pub struct ControlDouble {
    /// Internal address of the replica.
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    outgoing: broadcast::Sender<ControlToRelay>,
    tasks: JoinSet<()>,
}

impl ControlDouble {
    /// Starts a replica that is the leader and holds `state`.
    pub async fn start(state: StateUpdate) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let script = Script {
            state,
            frozen: false,
            leads: true,
            leader: None,
            lease_ms: 3_000,
            answers_ledger: true,
            received: Vec::new(),
        };
        let script = Arc::new(Mutex::new(script));
        let outgoing = broadcast::Sender::new(16_384);
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, script.clone(), outgoing.clone()));
        Self {
            address,
            script,
            outgoing,
            tasks,
        }
    }

    /// The script, for reading or changing.
    pub fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().expect("script")
    }

    /// Sends a message to every connected relay.
    pub fn send(&self, message: ControlToRelay) {
        // Fails if no relay is connected. A relay requests the state when it connects.
        let _ = self.outgoing.send(message);
    }

    /// Commits the given changes as the next revision and returns its number.
    pub fn commit(&self, mut changes: StateUpdate) -> u64 {
        let mut script = self.script();
        changes.from_revision = script.state.revision;
        changes.revision = changes.from_revision + 1;
        changes.configuration_version = script.state.configuration_version + 1;
        apply(&mut script.state, changes.clone());
        if !script.frozen {
            self.send(ControlToRelay::Update(changes));
        }
        script.state.revision
    }

    /// Closes the listener and all connections.
    #[allow(dead_code)]
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Applies `changes` to the full state.
fn apply(state: &mut StateUpdate, changes: StateUpdate) {
    state.revision = changes.revision;
    state.configuration_version = changes.configuration_version;
    if changes.schema.is_some() {
        state.schema = changes.schema;
    }
    state.services.extend(changes.services);
    state.services.retain(|_, service| service.is_some());
    state.backends.extend(changes.backends);
    state.backends.retain(|_, backend| backend.is_some());
    state.agents_per_service.extend(changes.agents_per_service);
}

async fn serve(
    listener: TcpListener,
    script: Arc<Mutex<Script>>,
    outgoing: broadcast::Sender<ControlToRelay>,
) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, peer) = listener.accept().await.expect("accept");
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
    mut outgoing: broadcast::Receiver<ControlToRelay>,
) {
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        deployment: DEPLOYMENT.to_owned(),
        role: Role::Control,
        sender: "control-double".to_owned(),
    };
    let Ok(connection) = accept(stream, peer, &hello).await else {
        return;
    };
    let mut connection = connection.retype::<RelayToControl, ControlToRelay>();
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

fn answer(script: &Mutex<Script>, message: RelayToControl) -> Option<ControlToRelay> {
    let mut script = script.lock().expect("script");
    script.received.push(message.clone());
    if script.frozen {
        return None;
    }
    match message {
        RelayToControl::Watch { revision, .. } if script.state.revision > revision => {
            Some(ControlToRelay::Update(script.state.clone()))
        }
        RelayToControl::RequestLease { nonce } => Some(answer_lease(&script, nonce)),
        RelayToControl::Ledger(calls) if script.answers_ledger => {
            let replies = calls
                .iter()
                .map(|(call, request)| (*call, reply_to(request)));
            Some(ControlToRelay::Ledger(replies.collect()))
        }
        _ => None,
    }
}

fn answer_lease(script: &Script, nonce: u64) -> ControlToRelay {
    if !script.leads {
        return ControlToRelay::NotLeader {
            leader: script.leader,
        };
    }
    ControlToRelay::Lease(LeaseGrant {
        nonce,
        age_ms: 0,
        duration_ms: script.lease_ms,
        revision: script.state.revision,
        configuration_version: script.state.configuration_version,
    })
}

fn reply_to(request: &LedgerRequest) -> LedgerReply {
    match request {
        LedgerRequest::Claim { .. } => LedgerReply::Claim(ClaimAnswer::Granted),
        LedgerRequest::LookUp { .. } => LedgerReply::Claim(ClaimAnswer::Free),
        _ => LedgerReply::Recorded,
    }
}
