//! Test doubles and sample values for the relay's tests.
#![allow(dead_code)]

pub mod control_double;

use std::{net::SocketAddr, time::Duration};

use sablehaven_relay::{Config, Handle};
use sablehaven_subscription::{AgentIdentity, Subscription};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{
    BackendRecord, BackendState, ClaimId, IndexSnapshot, LedgerKey, LedgerRequest, Observation,
    ObservationKind, Placement, ServiceConfiguration, SnapshotId,
};
use sablehaven_wire::{
    AgentToRelay, Connection, Hello, PROTOCOL_VERSION, RelayToAgent, Role, StateUpdate, connect,
};
use tokio::time::{sleep, timeout};

use control_double::{ControlDouble, DEPLOYMENT};

/// Timeout of every wait; far longer than a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub fn placement() -> Placement {
    Placement {
        region: "west".into(),
        zone: "west-1".into(),
    }
}

pub fn record(id: &str, service: &str, incarnation: u64, state: BackendState) -> BackendRecord {
    BackendRecord {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:9000".parse().expect("address"),
        placement: placement(),
        state,
        incarnation,
    }
}

pub fn service(generation: u64) -> ServiceConfiguration {
    ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation,
                partition_map: 1,
            },
            shards: Vec::new(),
        },
        routing: Default::default(),
    }
}

/// Changes that set one service and one of its back ends.
pub fn changes(name: &str, generation: u64) -> StateUpdate {
    let backend = record(
        &format!("{name}-backend"),
        name,
        generation,
        BackendState::Live,
    );
    StateUpdate {
        services: [(name.into(), Some(service(generation)))].into(),
        backends: [(backend.id.clone(), Some(backend))].into(),
        ..StateUpdate::default()
    }
}

/// A full state with the given services.
pub fn full_state(revision: u64, names: &[&str]) -> StateUpdate {
    let mut state = StateUpdate {
        full: true,
        revision,
        configuration_version: revision,
        ..StateUpdate::default()
    };
    for name in names {
        let update = changes(name, 1);
        state.services.extend(update.services);
        state.backends.extend(update.backends);
    }
    state
}

pub fn draining(backend: &str, service: &str, incarnation: u64) -> Observation {
    Observation {
        backend: backend.into(),
        service: service.into(),
        incarnation,
        kind: ObservationKind::Draining,
    }
}

pub fn claim(number: u64) -> LedgerRequest {
    LedgerRequest::Claim {
        key: LedgerKey {
            caller: "pantry-7".into(),
            request: format!("request-{number}").into(),
            issued_at_ms: 1,
        },
        claim: ClaimId(number),
        fingerprint: 1,
    }
}

pub fn relay_config(control: &[&ControlDouble]) -> Config {
    Config {
        deployment: DEPLOYMENT.to_owned(),
        placement: placement(),
        control: control.iter().map(|replica| replica.address).collect(),
        lease_interval_ms: 50,
        lease_timeout_ms: 2_000,
        retry_minimum_ms: 5,
        retry_maximum_ms: 50,
        stop_grace_ms: 50_000,
        stop_limit_ms: 60_000,
        ledger_timeout_ms: 50_000,
        ..Config::default()
    }
}

pub async fn start_relay(config: Config) -> Handle {
    sablehaven_relay::start(config, Telemetry::new("relay"))
        .await
        .expect("start")
}

pub fn address(relay: &Handle) -> SocketAddr {
    relay.addresses().internal.expect("listening")
}

/// Starts a real subscription to the relays, in the given order, for the given services.
pub fn subscribe(name: &str, relays: &[&Handle], interest: &[&str]) -> Subscription {
    let config = sablehaven_subscription::Config {
        relays: relays.iter().map(|relay| address(relay)).collect(),
        deployment: DEPLOYMENT.to_owned(),
        lease_request_interval_ms: 50,
        lease_wait_ms: 2_000,
        retry_minimum_ms: 10,
        retry_maximum_ms: 100,
        failover_jitter_ms: 5,
        observation_interval_ms: 10,
        ..Default::default()
    };
    let identity = AgentIdentity {
        agent: name.into(),
        placement: placement(),
        interest: interest.iter().map(|service| (*service).into()).collect(),
    };
    Subscription::start(config, identity)
}

pub type AgentConnection = Connection<RelayToAgent, AgentToRelay>;

pub fn hello(role: Role) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        deployment: DEPLOYMENT.to_owned(),
        role,
        sender: "agent-double".to_owned(),
    }
}

/// Connects as an agent without a subscription and sends the `Watch` message.
pub async fn connect_raw(relay: &Handle, name: &str, revision: u64) -> AgentConnection {
    let mut connection: AgentConnection = connect(address(relay), &hello(Role::Agent), Role::Relay)
        .await
        .expect("connect");
    let watch = AgentToRelay::Watch {
        agent: name.into(),
        placement: placement(),
        interest: Default::default(),
        revision,
    };
    connection.writer.send(&watch).await.expect("watch");
    connection
}

/// Receives the next message from the relay.
pub async fn receive(agent: &mut AgentConnection) -> RelayToAgent {
    timeout(WAIT_TIMEOUT, agent.reader.receive())
        .await
        .expect("no message before the timeout")
        .expect("receive")
}

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let holds = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_TIMEOUT, holds)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until: {what}"));
}

/// Waits until the subscription has the given revision and a current lease.
pub async fn wait_until_current_at(subscription: &Subscription, revision: u64) {
    wait_until("the agent has the revision and a current lease", || {
        subscription.view().revision == revision && subscription.lease().current
    })
    .await;
}
