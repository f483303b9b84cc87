//! A control service, relays, and agents that only subscribe, each kind on its own threads.

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
    control_side::{Commit, ControlService, RealControl},
    latency::start_delaying_forwarder,
};

/// One-way latency between zones, from the requirements.
pub const ZONE_LATENCY: Duration = Duration::from_millis(1);

/// One-way latency between regions, from the requirements.
pub const REGION_LATENCY: Duration = Duration::from_millis(10);

/// Number of regions in a deployment, from the requirements.
const REGIONS: usize = 3;

/// Number of services, as in the current deployment of the food bank.
pub const SERVICES: usize = 4;

/// Number of back ends, as in the current deployment of the food bank (16 + 24 + 30 + 15).
pub const BACKENDS: usize = 85;

/// Number of shards that a query touches, from the performance target.
const SHARDS: u32 = 55;

/// Minimum number of replicas per shard. A service with at least four back ends per shard has more.
const MIN_REPLICAS: usize = 3;

/// Size of the schema text in bytes.
const SCHEMA_BYTES: usize = 4_000;

/// The latencies added to the connections.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Latencies {
    /// The required ones: the latency between regions from control to two of three relays, and the
    /// latency between zones elsewhere.
    Required,
    /// None, for measurements of CPU time, because the forwarders would add to it.
    None,
}

/// The kind of control service.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ControlKind {
    /// The scripted test double.
    Double,
    /// Three real replicas.
    Real,
}

/// A relay that runs on its own threads.
pub struct RunningRelay {
    pub runtime: Runtime,
    pub handle: Handle,
    pub address: SocketAddr,
}

/// All components of a run.
pub struct Fleet {
    pub control: ControlService,
    pub control_runtime: Runtime,
    pub relays: Vec<RunningRelay>,
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
        .expect("build a runtime")
}

impl Fleet {
    /// Starts the control service and the relays, without agents.
    pub fn start(kind: ControlKind, relays: usize, latencies: Latencies) -> Self {
        let control_runtime = runtime("control", 2);
        let control = control_runtime.block_on(async {
            match kind {
                ControlKind::Double => {
                    let state = state(SERVICES, BACKENDS);
                    ControlService::Double(ControlDouble::start(state).await)
                }
                ControlKind::Real => ControlService::Real(RealControl::start().await),
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
            control: self.control_addresses(latency),
            ..Config::default()
        };
        let runtime = runtime("relay", 2);
        let started = sablehaven_relay::start(config, Telemetry::new("relay"));
        let handle = runtime.block_on(started).expect("start relay");
        let address = handle.addresses().internal.expect("internal address");
        self.relays.push(RunningRelay {
            runtime,
            handle,
            address: self.delayed_address(address, ZONE_LATENCY),
        });
    }

    /// Returns the addresses through which a relay reaches control. Real replicas already advertise
    /// addresses with added latency.
    fn control_addresses(&self, latency: Duration) -> Vec<SocketAddr> {
        let addresses = self.control.addresses();
        match &self.control {
            ControlService::Double(_) => {
                let targets = addresses.into_iter();
                targets
                    .map(|address| self.delayed_address(address, latency))
                    .collect()
            }
            ControlService::Real(_) => addresses,
        }
    }

    fn delayed_address(&self, target: SocketAddr, latency: Duration) -> SocketAddr {
        match self.latencies {
            Latencies::Required => self
                .latency_runtime
                .block_on(start_delaying_forwarder(target, latency)),
            Latencies::None => target,
        }
    }

    /// Starts agents until there are `count`. Preferred relays are assigned round-robin.
    pub fn grow_agents(&mut self, count: usize) {
        let relays: Vec<_> = self.relays.iter().map(|relay| relay.address).collect();
        for number in self.agents.len()..count {
            let mut by_preference = relays.clone();
            by_preference.rotate_left(number % relays.len());
            self.start_agent(number, by_preference);
        }
    }

    /// Starts agents until there are `count`. All of them prefer the first of the given relays.
    pub fn grow_agents_at(&mut self, count: usize, relays: &[SocketAddr]) {
        for number in self.agents.len()..count {
            self.start_agent(number, relays.to_vec());
        }
    }

    /// Starts an agent that subscribes to one service.
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

    /// Waits until every agent has the newest configuration version and a current lease.
    pub fn wait_until_up_to_date(&self) {
        let version = self.control.version();
        let is_up_to_date = |agent: &Subscription| {
            agent.view().configuration_version == version && agent.lease().current
        };
        while !self.agents.iter().all(is_up_to_date) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Commits a new snapshot of one service.
    pub fn commit(&self, number: usize) -> Commit {
        self.control_runtime.block_on(self.control.commit(number))
    }

    /// Stops all components.
    pub fn stop(self) {
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

/// Returns a change that publishes a new snapshot generation of one service, with the replicas of
/// every shard, in a state of the size of the current deployment.
pub fn snapshot_change(number: usize) -> StateUpdate {
    snapshot_change_at(number, SERVICES, BACKENDS)
}

/// Like `snapshot_change`, in a state of the given size.
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
    let replicas_per_shard = (backends / services / SHARDS as usize).max(MIN_REPLICAS);
    let shards = (0..SHARDS).map(|shard| {
        let first = shard as usize * replicas_per_shard;
        let replicas =
            (first..first + replicas_per_shard).map(|number| backend_name(number % backends));
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

/// Returns a full state of the given size.
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
