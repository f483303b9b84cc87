//! A small service with one router, for the scenario tests.
#![allow(dead_code, reason = "each test file uses a part of the shared support")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sablehaven_routing::{
    AgentLocation, AttemptOutcome, AttemptResult, LoadReport, ServiceRouter, ServiceUpdate,
};
use sablehaven_types::{
    AgentId, BackendId, BackendRecord, BackendState, IndexSnapshot, Placement, RegionName,
    RoutingSettings, ServiceName, ShardAssignment, ShardId, SnapshotId, ZoneName,
};

/// The only shard.
pub const SHARD: ShardId = ShardId(0);

pub fn placement(region: &str, zone: &str) -> Placement {
    Placement {
        region: RegionName::from(region),
        zone: ZoneName::from(zone),
    }
}

pub fn backend(name: &str, region: &str, zone: &str) -> BackendRecord {
    BackendRecord {
        id: BackendId::from(name),
        service: ServiceName::from("test.Search"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        placement: placement(region, zone),
        state: BackendState::Live,
        incarnation: 1,
    }
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A router and the shared state that it receives.
pub struct Service {
    pub router: ServiceRouter,
    pub settings: RoutingSettings,
    pub backends: Vec<BackendRecord>,
    pub agents: u32,
}

impl Service {
    /// Creates a service with one shard on all `backends`, and an agent in zone `a1` of region `a`.
    pub fn new(backends: Vec<BackendRecord>, settings: RoutingSettings) -> Self {
        let location = AgentLocation {
            agent: AgentId::from("agent-1"),
            placement: placement("a", "a1"),
        };
        let mut service = Self {
            router: ServiceRouter::new(location, &settings, 7),
            settings,
            backends,
            agents: 10,
        };
        service.publish(Duration::ZERO);
        service
    }

    /// Passes the current shared state to the router.
    pub fn publish(&mut self, now: Duration) {
        let replicas = self.backends.iter().map(|record| record.id.clone());
        let snapshot = IndexSnapshot {
            id: SnapshotId {
                generation: 1,
                partition_map: 1,
            },
            shards: vec![ShardAssignment {
                shard: SHARD,
                replicas: replicas.collect(),
            }],
        };
        let records: Vec<_> = self.backends.iter().cloned().map(Arc::new).collect();
        let update = ServiceUpdate {
            settings: &self.settings,
            backends: &records,
            snapshot: &snapshot,
            agents: self.agents,
        };
        self.router.update(now, update);
    }

    /// Chooses a back end, sends an attempt and finishes it. Returns the back end that received it.
    pub fn attempt(
        &mut self,
        now: Duration,
        result_of: impl Fn(&str) -> AttemptResult,
    ) -> Option<String> {
        self.router.admit(now, 1);
        let chosen = self.router.choose(now, SHARD, &[])?;
        self.router.sent(now, &chosen.backend);
        let result = result_of(chosen.backend.as_str());
        self.router
            .finished(now + result.latency, &chosen.backend, result);
        Some(chosen.backend.0)
    }
}

pub fn attempt_result(outcome: AttemptOutcome, latency: Duration) -> AttemptResult {
    AttemptResult {
        outcome,
        latency,
        load: None,
        incarnation: None,
    }
}

pub fn replied() -> AttemptResult {
    attempt_result(AttemptOutcome::Replied, millis(5))
}

pub fn replied_with_load(running_and_queued: u32, age: Duration) -> AttemptResult {
    AttemptResult {
        load: Some(LoadReport {
            running_and_queued,
            age,
        }),
        ..replied()
    }
}
