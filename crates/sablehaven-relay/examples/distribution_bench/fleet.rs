//! A control double, relays and hollow agents, each kind on threads of its own.

use std::{net::SocketAddr, time::Duration};

use sablehaven_relay::{Config, Handle};
use sablehaven_subscription::{AgentIdentity, Subscription};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{
    BackendRecord, BackendState, IndexSnapshot, Placement, SchemaSource, ServiceConfiguration,
    ServiceName, ShardAssignment, ShardId, SnapshotId,
};
use sablehaven_wire::StateUpdate;
use tokio::runtime::{Builder, Runtime};

use crate::{
    control_double::{ControlDouble, DEPLOYMENT},
    control_side::{Commit, ControlSide, RealControl},
    latency::delayed,
};

/// One-way latency between zones, from the brief.
pub const ZONE_LATENCY: Duration = Duration::from_millis(1);

/// One-way latency between regions, from the brief.
pub const REGION_LATENCY: Duration = Duration::from_millis(10);

/// Regions of a deployment, from the brief.
const REGIONS: usize = 3;

/// Services of the state, as of the food bank today.
pub const SERVICES: usize = 4;

/// Back ends of the state, as of the food bank today (16 + 24 + 30 + 15).
pub const BACKENDS: usize = 85;

/// Shards that a query touches, from the target.
const SHARDS: u32 = 55;

/// Replicas of a shard, at least; more when a service has more servers than shards.
const LEAST_REPLICAS: usize = 3;

/// Bytes of the schema's text.
const SCHEMA_BYTES: usize = 4_000;

/// Which latencies are added.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Latencies {
    /// The brief's: regions between control and two of three relays, zones elsewhere.
    Brief,
    /// None: for processor time, which the forwarding would add to.
    None,
}

/// Which control side is used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ControlKind {
    /// The scripted double.
    Double,
    /// Three real replicas.
    Real,
}

/// A relay on its own threads.
pub struct RelayProcess {
    pub runtime: Runtime,
    pub handle: Handle,
    pub address: SocketAddr,
}

/// The whole.
pub struct Fleet {
    pub control: ControlSide,
    pub control_runtime: Runtime,
    pub relays: Vec<RelayProcess>,
    pub agents: Vec<Subscription>,
    pub agent_runtime: Runtime,
    latency_runtime: Runtime,
    latencies: Latencies,
}

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("runtime")
}

impl Fleet {
    /// Starts control and relays, without agents.
    pub fn start(kind: ControlKind, relays: usize, latencies: Latencies) -> Self {
        let control_runtime = runtime("control", 2);
        let control = control_runtime.block_on(async {
            match kind {
                ControlKind::Double => {
                    let state = state(SERVICES, BACKENDS);
                    ControlSide::Double(ControlDouble::start(state).await)
                }
                ControlKind::Real => ControlSide::Real(RealControl::start().await),
            }
        });
        let mut fleet = Self {
            control,
            control_runtime,
            relays: Vec::new(),
            agents: Vec::new(),
            agent_runtime: runtime("agent", 4),
            latency_runtime: runtime("latency", 4),
            latencies,
        };
        for number in 0..relays {
            fleet.start_relay(number);
        }
        fleet
    }

    fn start_relay(&mut self, number: usize) {
        let latency = match number % REGIONS {
            0 => ZONE_LATENCY,
            _ => REGION_LATENCY,
        };
        let config = Config {
            deployment: DEPLOYMENT.to_owned(),
            placement: placement(),
            control: self.control_links(latency),
            ..Config::default()
        };
        let runtime = runtime("relay", 2);
        let started = sablehaven_relay::start(config, Telemetry::new("relay"));
        let handle = runtime.block_on(started).expect("start");
        let address = handle.addresses().internal.expect("listening");
        self.relays.push(RelayProcess {
            runtime,
            handle,
            address: self.link(address, ZONE_LATENCY),
        });
    }

    /// Real replicas have their latency on their own links.
    fn control_links(&self, latency: Duration) -> Vec<SocketAddr> {
        let addresses = self.control.addresses();
        match &self.control {
            ControlSide::Double(_) => {
                let links = addresses.into_iter();
                links.map(|address| self.link(address, latency)).collect()
            }
            ControlSide::Real(_) => addresses,
        }
    }

    fn link(&self, target: SocketAddr, latency: Duration) -> SocketAddr {
        match self.latencies {
            Latencies::Brief => self.latency_runtime.block_on(delayed(target, latency)),
            Latencies::None => target,
        }
    }

    /// Starts agents until there are `count`; each prefers one of the relays in turn.
    pub fn grow_agents(&mut self, count: usize) {
        let relays: Vec<_> = self.relays.iter().map(|relay| relay.address).collect();
        for number in self.agents.len()..count {
            let mut in_turn = relays.clone();
            in_turn.rotate_left(number % relays.len());
            self.start_agent(number, in_turn);
        }
    }

    /// Starts agents until there are `count`; each prefers the first of the given relays.
    pub fn grow_agents_at(&mut self, count: usize, relays: &[SocketAddr]) {
        for number in self.agents.len()..count {
            self.start_agent(number, relays.to_vec());
        }
    }

    /// Starts an agent that is interested in one service.
    fn start_agent(&mut self, number: usize, relays: Vec<SocketAddr>) {
        let _entered = self.agent_runtime.enter();
        let config = sablehaven_subscription::Config {
            relays,
            deployment: DEPLOYMENT.to_owned(),
            ..Default::default()
        };
        let identity = AgentIdentity {
            agent: format!("agent-{number}").into(),
            placement: placement(),
            interest: [service_name(number % SERVICES)].into(),
        };
        self.agents.push(Subscription::start(config, identity));
    }

    /// Waits until every agent has the newest version and a lease.
    pub fn settle(&self) {
        let version = self.control.version();
        let is_settled = |agent: &Subscription| {
            agent.view().configuration_version == version && agent.lease().current
        };
        while !self.agents.iter().all(is_settled) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Commits one change: a new snapshot of one service.
    pub fn commit(&self, number: usize) -> Commit {
        self.control_runtime.block_on(self.control.commit(number))
    }

    /// Ends everything.
    pub fn end(self) {
        drop(self.agents);
        self.agent_runtime.shutdown_background();
        for relay in self.relays {
            relay.runtime.shutdown_background();
        }
        self.latency_runtime.shutdown_background();
        self.control_runtime.shutdown_background();
    }
}

pub fn placement() -> Placement {
    Placement {
        region: "sicilia-ovest".into(),
        zone: "palermo-1".into(),
    }
}

pub fn service_name(number: usize) -> ServiceName {
    format!("trinacria.stock.Service{number}").into()
}

fn backend_name(number: usize) -> String {
    format!("depot-server-{number}")
}

/// Publishes a new generation of one service at today's sizes, with every shard's replicas.
pub fn snapshot_change(number: usize) -> StateUpdate {
    snapshot_change_at(number, SERVICES, BACKENDS)
}

/// The same in a state of the given size.
pub fn snapshot_change_at(number: usize, services: usize, backends: usize) -> StateUpdate {
    let service = service_name(number % services);
    let configuration = service_configuration(number as u64 + 2, services, backends);
    StateUpdate {
        services: [(service, Some(configuration))].into(),
        ..StateUpdate::default()
    }
}

fn service_configuration(
    generation: u64,
    services: usize,
    backends: usize,
) -> ServiceConfiguration {
    let of_a_shard = (backends / services / SHARDS as usize).max(LEAST_REPLICAS);
    let shards = (0..SHARDS).map(|shard| {
        let first = shard as usize * of_a_shard;
        let replicas = (first..first + of_a_shard).map(|number| backend_name(number % backends));
        ShardAssignment {
            shard: ShardId(shard),
            replicas: replicas.map(Into::into).collect(),
        }
    });
    ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation,
                partition_map: 1,
            },
            shards: shards.collect(),
        },
        routing: Default::default(),
    }
}

/// A whole state of the given size.
pub fn state(services: usize, backends: usize) -> StateUpdate {
    let records = (0..backends).map(|number| {
        let record = BackendRecord {
            id: backend_name(number).into(),
            service: service_name(number % services),
            address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
            placement: placement(),
            state: BackendState::Live,
            incarnation: 1,
        };
        (record.id.clone(), Some(record))
    });
    let configured = (0..services).map(|number| {
        let configuration = service_configuration(1, services, backends);
        (service_name(number), Some(configuration))
    });
    StateUpdate {
        full: true,
        revision: 1,
        configuration_version: 1,
        schema: Some(SchemaSource {
            file_name: "schema.proto".to_owned(),
            text: "x".repeat(SCHEMA_BYTES),
        }),
        services: configured.collect(),
        backends: records.collect(),
        ..StateUpdate::default()
    }
}
