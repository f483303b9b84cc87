//! The scenario of one run: topology, servers, load and faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sablehaven_types::{
    BackendId, BackendRecord, BackendState, IndexSnapshot, Placement, RegionName, RoutingSettings,
    ServiceName, ShardAssignment, ShardId, SnapshotId, ZoneName,
};

/// One-way latency within a zone. The requirements give no figure, so this is a quarter of the
/// latency between zones.
pub const ZONE_LATENCY: Duration = Duration::from_micros(250);
/// One-way latency between zones of a region, from the requirements.
pub const REGION_LATENCY: Duration = Duration::from_millis(1);
/// One-way latency between regions, from the requirements.
pub const REMOTE_LATENCY: Duration = Duration::from_millis(10);

/// The number of regions, zones, shards, replicas and agents.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Number of regions.
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
    /// Returns the number of zones in all regions.
    pub fn zones(&self) -> usize {
        self.regions * self.zones_per_region
    }

    /// Returns the number of servers of all shards in all zones.
    pub fn servers(&self) -> usize {
        self.shards * self.replicas_per_shard()
    }

    /// Returns the number of replicas of each shard in all zones.
    pub fn replicas_per_shard(&self) -> usize {
        self.zones() * self.replicas_per_zone
    }

    /// Returns the number of agents in all zones.
    pub fn agents(&self) -> usize {
        self.zones() * self.agents_per_zone
    }

    /// Returns the servers that hold a shard.
    pub fn servers_of(&self, shard: usize) -> std::ops::Range<usize> {
        let replicas = self.replicas_per_shard();
        shard * replicas..(shard + 1) * replicas
    }

    /// Returns the zone of a server, numbered across all regions.
    pub fn zone_of_server(&self, server: usize) -> usize {
        (server % self.replicas_per_shard()) / self.replicas_per_zone
    }

    /// Returns the zone of an agent, numbered across all regions.
    pub fn zone_of_agent(&self, agent: usize) -> usize {
        agent / self.agents_per_zone
    }

    /// Returns the region of a zone.
    pub fn region_of_zone(&self, zone: usize) -> usize {
        zone / self.zones_per_region
    }

    /// Returns the one-way latency between two zones.
    pub fn latency(&self, from_zone: usize, to_zone: usize) -> Duration {
        if from_zone == to_zone {
            ZONE_LATENCY
        } else if self.region_of_zone(from_zone) == self.region_of_zone(to_zone) {
            REGION_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    /// Returns the names of a zone and of its region.
    pub fn placement(&self, zone: usize) -> Placement {
        Placement {
            region: RegionName(format!("region-{}", self.region_of_zone(zone))),
            zone: ZoneName(format!("zone-{zone}")),
        }
    }

    /// Returns the backend ID of a server.
    pub fn backend_id(&self, server: usize) -> BackendId {
        BackendId(format!("server-{server}"))
    }

    /// Returns the record of a server as the agents receive it.
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

    /// Returns the index snapshot that assigns every shard to its servers.
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

/// Parameters of the simulated servers.
#[derive(Clone, Debug)]
pub struct ServerModel {
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of queued requests; further ones are shed.
    pub queue: usize,
    /// Mean service time of a request that is not a straggler.
    pub mean_service: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub service_sigma: f64,
    /// Share of replies that are stragglers.
    pub straggler_share: f64,
    /// Factor by which a straggler is slower.
    pub straggler_factor: f64,
    /// Age up to which a load report is sent again instead of a new one.
    pub report_lag: Duration,
    /// Share of servers that always report zero load with an age of zero.
    pub misleading_share: f64,
}

impl ServerModel {
    /// Returns the requests per second that one server can run.
    pub fn capacity(&self) -> f64 {
        let slowdown = 1.0 + self.straggler_share * (self.straggler_factor - 1.0);
        self.slots as f64 / (self.mean_service.as_secs_f64() * slowdown)
    }
}

/// How a server handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Runs requests normally.
    Healthy,
    /// Accepts requests and never replies.
    Stuck,
    /// Sheds each request with this probability.
    Shedding(f64),
    /// Starts slower and speeds up linearly until it has run the given number of requests.
    Cold {
        /// Initial slowdown factor.
        factor: f64,
        /// Number of requests after which it is warm.
        requests: u32,
    },
}

/// One change during a run.
#[derive(Clone, Debug)]
pub enum Change {
    /// The new behaviour of servers.
    Behaviour(Vec<usize>, Behaviour),
    /// The new state of servers, which is published to every agent.
    PublishedState(Vec<usize>, BackendState),
    /// The new number of queries per second in each region.
    Load(Vec<f64>),
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Regions, zones, shards and agents.
    pub topology: Topology,
    /// Parameters of the servers.
    pub servers: ServerModel,
    /// Maximum duration of a query.
    pub deadline: Duration,
    /// Time at which the measurement starts.
    pub warm_up: Duration,
    /// End of the run.
    pub end: Duration,
    /// Changes during the run, with their times.
    pub changes: Vec<(Duration, Change)>,
    /// Servers that are unknown to all agents at the start.
    pub absent: Vec<usize>,
    /// The routing settings.
    pub settings: RoutingSettings,
    /// Maximum number of times that a refused caller retries after the delay that it was given.
    pub caller_retries: u32,
}

impl Scenario {
    /// Returns the sub-requests per second that all servers together can run.
    pub fn capacity(&self) -> f64 {
        self.servers.capacity() * self.topology.servers() as f64
    }

    /// Returns the queries per second that result in the given utilisation of all servers.
    pub fn queries_for(&self, utilisation: f64) -> f64 {
        self.capacity() * utilisation / self.topology.shards as f64
    }

    /// Returns the change that sets the same load in every region, for the given utilisation of all
    /// servers.
    pub fn even_load(&self, utilisation: f64) -> Change {
        let regions = self.topology.regions;
        Change::Load(vec![
            self.queries_for(utilisation) / regions as f64;
            regions
        ])
    }
}

/// Returns the default scenario; each experiment overrides the parameters that it studies.
pub fn base_scenario(topology: Topology) -> Scenario {
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
        caller_retries: 0,
    }
}
