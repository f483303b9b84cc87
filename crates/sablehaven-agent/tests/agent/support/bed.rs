//! A test bed of scripted back ends, a scripted relay and real agents.

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
    caller::{Caller, OnceRequest},
    eventually,
    ledger::LedgerEntry,
    relay::{DEPLOYMENT, RelayDouble},
    schema::service,
};

/// The first snapshot of every test bed.
pub const FIRST: SnapshotId = SnapshotId {
    generation: 1,
    partition_map: 1,
};

/// Back ends and a relay. The back end at index `shard * replicas_per_shard + replica` holds `shard`.
pub struct TestBed {
    pub relay: RelayDouble,
    pub backends: Vec<BackendDouble>,
    pub replicas_per_shard: usize,
}

/// A running agent and a client that sends requests to it.
pub struct TestAgent {
    pub handle: Handle,
    pub telemetry: Telemetry,
    pub caller: Caller,
}

impl TestBed {
    /// Starts back ends and a relay, and publishes the first snapshot.
    pub async fn start(shards: usize, replicas_per_shard: usize) -> Self {
        let mut backends = Vec::new();
        for _ in 0..shards * replicas_per_shard {
            backends.push(BackendDouble::start().await);
        }
        let relay = RelayDouble::start().await;
        let bed = Self {
            relay,
            backends,
            replicas_per_shard,
        };
        bed.relay.publish(|state| {
            for index in 0..bed.backends.len() {
                let record = bed.backend_record(index);
                state.backends.insert(record.id.clone(), record);
            }
            state
                .services
                .insert(service(), bed.service_configuration(FIRST));
        });
        bed
    }

    /// Returns the default settings with the relay of this test bed, no stop notice, and short waits for
    /// leases and the ledger.
    pub fn agent_config(&self) -> Config {
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

    /// Starts an agent with the settings of [`Self::agent_config`].
    pub async fn start_agent(&self) -> TestAgent {
        self.start_agent_with_config(self.agent_config()).await
    }

    pub async fn start_agent_with_config(&self, config: Config) -> TestAgent {
        self.start_agent_with_policies(config, service_router_factory())
            .await
    }

    /// Starts an agent with the given routing policies. Waits until it is ready, and until it has a lease if
    /// the relay grants leases.
    pub async fn start_agent_with_policies(
        &self,
        config: Config,
        policies: PolicyFactory,
    ) -> TestAgent {
        let telemetry = Telemetry::new("agent");
        let handle = start_with_policies(config, telemetry.clone(), policies).await;
        let handle = handle.expect("starts");
        let address = handle.addresses().http.expect("listens");
        let agent = TestAgent {
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

    pub fn backend_id(&self, index: usize) -> BackendId {
        BackendId(format!("backend-{index:03}"))
    }

    pub fn backend_record(&self, index: usize) -> BackendRecord {
        BackendRecord {
            id: self.backend_id(index),
            service: service(),
            address: self.backends[index].address,
            placement: placement(),
            state: BackendState::Live,
            incarnation: 1,
        }
    }

    /// Returns a service configuration with the partition map of this test bed under the snapshot `id`.
    pub fn service_configuration(&self, id: SnapshotId) -> ServiceConfiguration {
        let shards = self.backends.len() / self.replicas_per_shard;
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

    /// Publishes a service configuration and returns its revision.
    pub fn publish_configuration(&self, configuration: ServiceConfiguration) -> u64 {
        self.relay.publish(|state| {
            state.services.insert(service(), configuration);
        })
    }

    /// The number of attempts received by all back ends together.
    pub fn attempt_count(&self) -> u64 {
        self.backends.iter().map(BackendDouble::attempt_count).sum()
    }

    /// The ledger entry of a request.
    pub fn ledger_entry(&self, once: &OnceRequest) -> Option<LedgerEntry> {
        let state = self.relay.lock();
        state.ledger.entries.get(&once.key).cloned()
    }

    pub fn is_released(&self, once: &OnceRequest) -> bool {
        matches!(self.ledger_entry(once), Some(LedgerEntry::Released(_)))
    }

    pub fn is_done(&self, once: &OnceRequest) -> bool {
        let entry = self.ledger_entry(once);
        matches!(
            entry,
            Some(LedgerEntry::Settled(_, RecordedOutcome::Done { .. }))
        )
    }

    pub fn is_settled_unknown(&self, once: &OnceRequest) -> bool {
        let entry = self.ledger_entry(once);
        matches!(
            entry,
            Some(LedgerEntry::Settled(_, RecordedOutcome::Unknown))
        )
    }

    fn assignment(&self, shard: usize) -> ShardAssignment {
        let first = shard * self.replicas_per_shard;
        ShardAssignment {
            shard: ShardId(u32::try_from(shard).expect("few shards")),
            replicas: (first..first + self.replicas_per_shard)
                .map(|index| self.backend_id(index))
                .collect(),
        }
    }
}

impl TestAgent {
    pub async fn wait_for_lease(&self) {
        self.wait_for_metric("sablehaven_agent_lease_current", 1)
            .await;
    }

    /// Waits until the metric is at least `value`.
    pub async fn wait_for_metric(&self, name: &str, value: u64) {
        eventually(name, || self.metric(name) >= value).await;
    }

    /// The value of a metric, by its name with labels; 0 if the metric does not exist.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.telemetry.encode_metrics();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.map_or(0, |value| value.parse().expect("a whole number"))
    }

    /// The number of replies discarded for `reason`.
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
