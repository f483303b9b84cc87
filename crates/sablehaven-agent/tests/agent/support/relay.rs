//! A scripted relay.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use sablehaven_types::{
    BackendId, BackendRecord, Observation, SchemaSource, ServiceConfiguration, ServiceName,
};
use sablehaven_wire::{
    AgentToRelay, Connection, Hello, LeaseGrant, PROTOCOL_VERSION, RelayToAgent, Role, StateUpdate,
    accept,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{broadcast, watch},
};

use super::{ledger::LedgerDouble, schema};

pub const DEPLOYMENT: &str = "test";

/// Duration of the leases that the relay grants.
const LEASE_DURATION_MS: u64 = 60_000;

/// The state that the relay publishes, and what it has received from agents.
#[derive(Default)]
pub struct RelayState {
    pub revision: u64,
    pub schema_text: String,
    pub services: BTreeMap<ServiceName, ServiceConfiguration>,
    pub backends: BTreeMap<BackendId, BackendRecord>,
    pub ledger: LedgerDouble,
    pub grants_leases: bool,
    pub lease_duration_ms: u64,
    pub observations: Vec<Observation>,
    pub acknowledged_revision: u64,
    /// Number of agents that have left.
    pub leave_count: u32,
}

/// A running relay.
#[derive(Clone)]
pub struct RelayDouble {
    pub address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
    changed: watch::Sender<u64>,
    hints: broadcast::Sender<Observation>,
}

impl RelayDouble {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let state = RelayState {
            grants_leases: true,
            lease_duration_ms: LEASE_DURATION_MS,
            schema_text: schema::TEXT.to_owned(),
            ..RelayState::default()
        };
        let relay = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(0),
            hints: broadcast::Sender::new(16),
        };
        tokio::spawn(relay.clone().accept_all(listener));
        relay
    }

    pub fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().expect("not poisoned")
    }

    /// Changes the state, sends it to every agent, and returns its revision.
    pub fn publish(&self, change: impl FnOnce(&mut RelayState)) -> u64 {
        let revision = {
            let mut state = self.lock();
            change(&mut state);
            state.revision += 1;
            state.revision
        };
        self.changed.send_replace(revision);
        revision
    }

    /// Sends an observation as a hint of another agent, before control has committed it.
    pub fn send_hint(&self, observation: Observation) {
        self.hints.send(observation).expect("an agent listens");
    }

    async fn accept_all(self, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream, peer));
        }
    }

    async fn serve(self, stream: TcpStream, peer: SocketAddr) {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: DEPLOYMENT.to_owned(),
            role: Role::Relay,
            sender: "scripted relay".to_owned(),
        };
        let Ok(connection) = accept(stream, peer, &hello).await else {
            return;
        };
        let connection: Connection<AgentToRelay, RelayToAgent> = connection.retype();
        let (mut reader, mut writer) = (connection.reader, connection.writer);
        let mut changed = self.changed.subscribe();
        let mut hints = self.hints.subscribe();
        loop {
            let answer = tokio::select! {
                message = reader.receive() => match message {
                    Ok(message) => self.answer(message),
                    Err(_) => return,
                },
                hint = hints.recv() => match hint {
                    Ok(observation) => Some(RelayToAgent::Hint(vec![observation])),
                    Err(_) => return,
                },
                result = changed.changed() => match result {
                    Ok(()) => Some(RelayToAgent::Update(self.update())),
                    Err(_) => return,
                },
            };
            if let Some(answer) = answer
                && writer.send(&answer).await.is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, message: AgentToRelay) -> Option<RelayToAgent> {
        let mut state = self.lock();
        match message {
            AgentToRelay::Watch { .. } => {
                drop(state);
                Some(RelayToAgent::Update(self.update()))
            }
            AgentToRelay::Acknowledge { revision, .. } => {
                state.acknowledged_revision = revision;
                None
            }
            AgentToRelay::RequestLease { nonce } => state.grants_leases.then_some({
                RelayToAgent::Lease(LeaseGrant {
                    nonce,
                    age_ms: 0,
                    duration_ms: state.lease_duration_ms,
                    revision: state.revision,
                    configuration_version: state.revision,
                })
            }),
            AgentToRelay::Observe(observations) => {
                state.observations.extend(observations);
                None
            }
            AgentToRelay::Ledger { call, request } => {
                let reply = state.ledger.serve(&request)?;
                Some(RelayToAgent::Ledger { call, reply })
            }
            AgentToRelay::Leave => {
                state.leave_count += 1;
                None
            }
        }
    }

    fn update(&self) -> StateUpdate {
        let state = self.lock();
        let services = state.services.iter();
        let backends = state.backends.iter();
        StateUpdate {
            full: true,
            from_revision: 0,
            revision: state.revision,
            configuration_version: state.revision,
            schema: Some(SchemaSource {
                file_name: schema::FILE.to_owned(),
                text: state.schema_text.clone(),
            }),
            services: services
                .map(|(name, value)| (name.clone(), Some(value.clone())))
                .collect(),
            backends: backends
                .map(|(id, value)| (id.clone(), Some(value.clone())))
                .collect(),
            agents_per_service: BTreeMap::new(),
        }
    }
}
