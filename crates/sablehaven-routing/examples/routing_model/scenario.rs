//! What one run models: places, servers, load, faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sablehaven_types::{
    BackendId, BackendRecord, BackendState, IndexSnapshot, Placement, RegionName, RoutingSettings,
    ServiceName, ShardAssignment, ShardId, SnapshotId, ZoneName,
};

/// One way within a zone. The brief gives no figure; a quarter of that between zones.
pub const ZONE_LATENCY: Duration = Duration::from_micros(250);
/// One way between zones (the brief).
pub const REGION_LATENCY: Duration = Duration::from_millis(1);
/// One way between regions (the brief).
pub const REMOTE_LATENCY: Duration = Duration::from_millis(10);

/// The places and their sizes.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Regions.
    pub regions: usize,
    /// Zones in each region.
    pub zones_per_region: usize,
    /// Shards of the index.
    pub shards: usize,
    /// Replicas of each shard in each zone; every replica is a server of its own.
    pub replicas_per_zone: usize,
    /// Agents in each zone.
    pub agents_per_zone: usize,
}

impl Topology {
    /// All zones.
    pub fn zones(&self) -> usize {
        self.regions * self.zones_per_region
    }

    /// Servers of all shards and zones.
    pub fn servers(&self) -> usize {
        self.shards * self.replicas_per_shard()
    }

    /// Replicas of each shard in all zones.
    pub fn replicas_per_shard(&self) -> usize {
        self.zones() * self.replicas_per_zone
    }

    /// Agents in all zones.
    pub fn agents(&self) -> usize {
        self.zones() * self.agents_per_zone
    }

    /// The servers that hold a shard.
    pub fn servers_of(&self, shard: usize) -> std::ops::Range<usize> {
        let replicas = self.replicas_per_shard();
        shard * replicas..(shard + 1) * replicas
    }

    /// The zone of a server, counted over all regions.
    pub fn zone_of_server(&self, server: usize) -> usize {
        (server % self.replicas_per_shard()) / self.replicas_per_zone
    }

    /// The zone of an agent, counted over all regions.
    pub fn zone_of_agent(&self, agent: usize) -> usize {
        agent / self.agents_per_zone
    }

    /// The region of a zone.
    pub fn region_of_zone(&self, zone: usize) -> usize {
        zone / self.zones_per_region
    }

    /// The one-way latency between two zones.
    pub fn latency(&self, from_zone: usize, to_zone: usize) -> Duration {
        if from_zone == to_zone {
            ZONE_LATENCY
        } else if self.region_of_zone(from_zone) == self.region_of_zone(to_zone) {
            REGION_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    /// The place of a zone.
    pub fn placement(&self, zone: usize) -> Placement {
        Placement {
            region: RegionName(format!("region-{}", self.region_of_zone(zone))),
            zone: ZoneName(format!("zone-{zone}")),
        }
    }

    /// The name of a server.
    pub fn backend_id(&self, server: usize) -> BackendId {
        BackendId(format!("server-{server}"))
    }

    /// The shared state's record of a server.
    pub fn record(&self, server: usize, state: BackendState) -> Arc<BackendRecord> {
        Arc::new(BackendRecord {
            id: self.backend_id(server),
            service: ServiceName::from("model.Search"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            placement: self.placement(self.zone_of_server(server)),
            state,
            incarnation: 1,
        })
    }

    /// The snapshot with every shard on its servers.
    pub fn snapshot(&self) -> IndexSnapshot {
        let shards = (0..self.shards).map(|shard| ShardAssignment {
            shard: ShardId(shard as u32),
            replicas: self
                .servers_of(shard)
                .map(|server| self.backend_id(server))
                .collect(),
        });
        IndexSnapshot {
            id: SnapshotId {
                generation: 1,
                partition_map: 1,
            },
            shards: shards.collect(),
        }
    }
}

/// How a server works.
#[derive(Clone, Debug)]
pub struct ServerModel {
    /// Requests run at the same time.
    pub slots: usize,
    /// Requests that may wait; more are shed.
    pub queue: usize,
    /// Mean time to run one request, stragglers aside.
    pub mean_service: Duration,
    /// Standard deviation of the logarithm of that time.
    pub service_sigma: f64,
    /// Share of replies that are stragglers.
    pub straggler_share: f64,
    /// How much slower a straggler is.
    pub straggler_factor: f64,
    /// Age up to which a load report is repeated.
    pub report_lag: Duration,
    /// Share of servers that report no load at all, as if fresh, whatever they have.
    pub misleading_share: f64,
}

impl ServerModel {
    /// Requests per second that one server can run.
    pub fn capacity(&self) -> f64 {
        let stretch = 1.0 + self.straggler_share * (self.straggler_factor - 1.0);
        self.slots as f64 / (self.mean_service.as_secs_f64() * stretch)
    }
}

/// What a server does from some moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// It works.
    Healthy,
    /// It accepts requests and never replies.
    Stuck,
    /// It sheds each request with this probability.
    Shedding(f64),
    /// It is this many times slower, until warmed up by this many requests.
    Cold {
        /// How much slower it is.
        factor: f64,
        /// Requests until it is warm.
        requests: u32,
    },
}

/// One change during a run.
#[derive(Clone, Debug)]
pub enum Change {
    /// Servers behave in another way.
    Behave(Vec<usize>, Behaviour),
    /// Servers are live or not, and every agent learns it.
    Publish(Vec<usize>, BackendState),
    /// Queries per second of each region from now on.
    Load(Vec<f64>),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The places.
    pub topology: Topology,
    /// The servers.
    pub servers: ServerModel,
    /// Time that a query may take.
    pub deadline: Duration,
    /// Time after which queries are measured.
    pub warm_up: Duration,
    /// End of the run.
    pub end: Duration,
    /// Changes, by time.
    pub changes: Vec<(Duration, Change)>,
    /// Servers that no agent knows at the start.
    pub absent: Vec<usize>,
    /// The routing settings.
    pub settings: RoutingSettings,
    /// Callers that are refused come back when they are told to, at most so many times.
    pub come_backs: u32,
}

impl Scenario {
    /// Sub-requests per second that all servers can run.
    pub fn capacity(&self) -> f64 {
        self.servers.capacity() * self.topology.servers() as f64
    }

    /// Queries per second that use the given part of all servers.
    pub fn queries_for(&self, utilisation: f64) -> f64 {
        self.capacity() * utilisation / self.topology.shards as f64
    }

    /// The same load in every region, of the given part of all servers.
    pub fn even_load(&self, utilisation: f64) -> Change {
        let regions = self.topology.regions;
        Change::Load(vec![
            self.queries_for(utilisation) / regions as f64;
            regions
        ])
    }
}

/// The usual sizes; experiments change what they are about.
pub fn base(topology: Topology) -> Scenario {
    let settings = RoutingSettings {
        slots_per_server: 4,
        connections_per_server: 75,
        ..RoutingSettings::default()
    };
    Scenario {
        topology,
        servers: ServerModel {
            slots: 4,
            queue: 8,
            mean_service: Duration::from_millis(10),
            service_sigma: 0.4,
            straggler_share: 0.0,
            straggler_factor: 10.0,
            report_lag: Duration::from_millis(200),
            misleading_share: 0.0,
        },
        deadline: Duration::from_secs(1),
        warm_up: Duration::from_secs(10),
        end: Duration::from_secs(40),
        changes: Vec::new(),
        absent: Vec::new(),
        settings,
        come_backs: 0,
    }
}
