//! A test bed: back ends, a relay and agents.

use sablehaven_agent::{
    Config, Handle,
    routing::{PolicyFactory, service_router_factory},
    start_with_policies,
};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{
    BackendId, BackendRecord, BackendState, IndexSnapshot, Placement, RecordedOutcome, RegionName,
    RoutingSettings, ServiceConfiguration, ShardAssignment, ShardId, SnapshotId, ZoneName,
};

use super::{
    backend::BackendDouble,
    caller::{Caller, Once},
    eventually,
    ledger::Entry,
    relay::{DEPLOYMENT, RelayDouble},
    schema::service,
};

/// The first snapshot of every bed.
pub const FIRST: SnapshotId = SnapshotId {
    generation: 1,
    partition_map: 1,
};

/// Back ends and a relay. Back end `shard * replicas + replica` holds that shard.
pub struct Bed {
    pub relay: RelayDouble,
    pub backends: Vec<BackendDouble>,
    pub replicas: usize,
}

/// A running agent with a caller beside it.
pub struct AgentDouble {
    pub handle: Handle,
    pub telemetry: Telemetry,
    pub caller: Caller,
}

impl Bed {
    /// Starts back ends and a relay, and publishes the first snapshot.
    pub async fn start(shards: usize, replicas: usize) -> Self {
        let mut backends = Vec::new();
        for _ in 0..shards * replicas {
            backends.push(BackendDouble::start().await);
        }
        let relay = RelayDouble::start().await;
        let bed = Self {
            relay,
            backends,
            replicas,
        };
        bed.relay.publish(|state| {
            for index in 0..bed.backends.len() {
                let record = bed.record(index);
                state.backends.insert(record.id.clone(), record);
            }
            state.services.insert(service(), bed.configuration(FIRST));
        });
        bed
    }

    /// An agent with the default settings, short waits at stop, and the bed's relay.
    pub fn config(&self) -> Config {
        let mut config = Config {
            deployment: DEPLOYMENT.to_owned(),
            http_listen: "127.0.0.1:0".parse().expect("an address"),
            placement: placement(),
            ..Config::default()
        };
        config.subscription.relays = vec![self.relay.address];
        config.subscription.lease_request_interval_ms = 20;
        config.timing.stop_notice_ms = 0;
        config.timing.ledger_call_ms = 100;
        config.timing.ledger_pause_ms = 5;
        config
    }

    pub async fn agent(&self) -> AgentDouble {
        self.agent_with(self.config()).await
    }

    pub async fn agent_with(&self, config: Config) -> AgentDouble {
        self.agent_routed(config, service_router_factory()).await
    }

    /// Starts an agent with these routing decisions, and waits until it is ready and holds a lease.
    pub async fn agent_routed(&self, config: Config, policies: PolicyFactory) -> AgentDouble {
        let telemetry = Telemetry::new("agent");
        let handle = start_with_policies(config, telemetry.clone(), policies).await;
        let handle = handle.expect("starts");
        let address = handle.addresses().http.expect("listens");
        let agent = AgentDouble {
            handle,
            telemetry,
            caller: Caller::new(address),
        };
        eventually("the agent is ready", || agent.telemetry.is_ready()).await;
        if self.relay.lock().grants_leases {
            agent.wait_for_lease().await;
        }
        agent
    }

    pub fn id(&self, index: usize) -> BackendId {
        BackendId(format!("backend-{index:03}"))
    }

    pub fn record(&self, index: usize) -> BackendRecord {
        BackendRecord {
            id: self.id(index),
            service: service(),
            address: self.backends[index].address,
            placement: placement(),
            state: BackendState::Live,
            incarnation: 1,
        }
    }

    /// The bed's own partition map under a snapshot.
    pub fn configuration(&self, id: SnapshotId) -> ServiceConfiguration {
        let shards = self.backends.len() / self.replicas;
        let assignments = (0..shards).map(|shard| self.assignment(shard));
        ServiceConfiguration {
            snapshot: IndexSnapshot {
                id,
                shards: assignments.collect(),
            },
            routing: RoutingSettings {
                slow_start_ms: 0,
                ..RoutingSettings::default()
            },
        }
    }

    /// Publishes a service configuration.
    pub fn publish(&self, configuration: ServiceConfiguration) -> u64 {
        self.relay.publish(|state| {
            state.services.insert(service(), configuration);
        })
    }

    /// The number of attempts that all back ends saw.
    pub fn attempts(&self) -> u64 {
        self.backends.iter().map(BackendDouble::count).sum()
    }

    /// Where a request stands in the ledger.
    pub fn entry(&self, once: &Once) -> Option<Entry> {
        let state = self.relay.lock();
        state.ledger.entries.get(&once.key).cloned()
    }

    pub fn is_released(&self, once: &Once) -> bool {
        matches!(self.entry(once), Some(Entry::Released(_)))
    }

    pub fn is_done(&self, once: &Once) -> bool {
        let entry = self.entry(once);
        matches!(entry, Some(Entry::Settled(_, RecordedOutcome::Done { .. })))
    }

    pub fn is_settled_unknown(&self, once: &Once) -> bool {
        let entry = self.entry(once);
        matches!(entry, Some(Entry::Settled(_, RecordedOutcome::Unknown)))
    }

    fn assignment(&self, shard: usize) -> ShardAssignment {
        let first = shard * self.replicas;
        ShardAssignment {
            shard: ShardId(u32::try_from(shard).expect("few shards")),
            replicas: (first..first + self.replicas)
                .map(|index| self.id(index))
                .collect(),
        }
    }
}

impl AgentDouble {
    pub async fn wait_for_lease(&self) {
        self.wait_for_metric("sablehaven_agent_lease_current", 1)
            .await;
    }

    /// Waits until a metric has at least a value.
    pub async fn wait_for_metric(&self, name: &str, value: u64) {
        eventually(name, || self.metric(name) >= value).await;
    }

    /// The value of a metric, by its name with labels; 0 if it is not there.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.telemetry.encode_metrics();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.map_or(0, |value| value.parse().expect("a whole number"))
    }

    /// Replies discarded for a reason.
    pub fn discarded(&self, reason: &str) -> u64 {
        let name = format!("sablehaven_agent_discarded_replies_total{{reason=\"{reason}\"}}");
        self.metric(&name)
    }
}

pub fn placement() -> Placement {
    Placement {
        region: RegionName::from("north"),
        zone: ZoneName::from("north-a"),
    }
}
