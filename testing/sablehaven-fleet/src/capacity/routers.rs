//! Slopes over the replicas of a shard: what one service's router takes to follow a change. Measured
//! in this process, since no sockets are involved.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_routing::{AgentLocation, ServiceRouter, ServiceUpdate};
use sablehaven_types::{
    BackendId, BackendRecord, BackendState, IndexSnapshot, Placement, RoutingSettings,
    ShardAssignment, ShardId, SnapshotId,
};

use super::{Part, SlopeSet, figure};
use crate::measure::statistics::quantile;

/// Shards of a service, as many as a query of the target goes to.
const SHARDS: u32 = 55;

/// Replicas of a shard.
const REPLICAS: [u32; 5] = [12, 25, 50, 100, 200];

/// Updates that are timed at each size.
const UPDATES: u32 = 20;

/// Agents that watch the service.
const AGENTS: u32 = 8_192;

/// Zones over which replicas are spread.
const ZONES: u32 = 10;

/// Measures every size.
pub(super) fn measure() -> SlopeSet {
    let mut slopes = SlopeSet::new(Part::Routers, "servers of a service");
    for replicas in REPLICAS {
        let x = f64::from(SHARDS * replicas);
        slopes.add(figure::ROUTER_UPDATE, x, update_milliseconds(replicas));
    }
    slopes
}

/// The median time of an update that publishes a snapshot with the same map.
fn update_milliseconds(replicas: u32) -> f64 {
    let settings = RoutingSettings::default();
    let backends: Vec<Arc<BackendRecord>> = (0..SHARDS * replicas).map(backend).collect();
    let site = AgentLocation {
        agent: "capacity".into(),
        placement: place(0),
    };
    let mut router = ServiceRouter::new(site, &settings, 1);
    let mut times = Vec::new();
    for generation in 1..=UPDATES {
        let snapshot = snapshot(u64::from(generation), replicas);
        let now = Duration::from_secs(u64::from(generation));
        let start = Instant::now();
        router.update(
            now,
            ServiceUpdate {
                settings: &settings,
                backends: &backends,
                snapshot: &snapshot,
                agents: AGENTS,
            },
        );
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    quantile(&times, 0.5).unwrap_or(0.0)
}

fn snapshot(generation: u64, replicas: u32) -> IndexSnapshot {
    let shards = (0..SHARDS).map(|shard| ShardAssignment {
        shard: ShardId(shard),
        replicas: (0..replicas)
            .map(|replica| id(shard * replicas + replica))
            .collect(),
    });
    IndexSnapshot {
        id: SnapshotId {
            generation,
            partition_map: 1,
        },
        shards: shards.collect(),
    }
}

fn backend(number: u32) -> Arc<BackendRecord> {
    let [_, first, second, third] = number.to_be_bytes();
    Arc::new(BackendRecord {
        id: id(number),
        service: "capacity.Service".into(),
        address: SocketAddr::from(([127, first, second, third], 1)),
        placement: place(number % ZONES),
        state: BackendState::Live,
        incarnation: 1,
    })
}

/// Ascending by number, as views list them.
fn id(number: u32) -> BackendId {
    BackendId(format!("server-{number:06}"))
}

fn place(zone: u32) -> Placement {
    Placement {
        region: format!("region-{}", zone % 3).into(),
        zone: format!("zone-{zone}").into(),
    }
}
