//! The decisions for one service, assembled from the single mechanisms.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_types::{
    BackendId, BackendRecord, BackendState, MissingReason, Observation, RoutingSettings, ShardId,
};

use crate::interface::{
    Admission, AgentSite, AttemptResult, Chosen, ExtraKind, RouterCounters, ServiceUpdate,
};

/// The routing decisions of one agent for one service.
///
/// `now` is the time since an arbitrary start that is the same for all calls, and never goes back.
/// The same seed and the same calls give the same decisions.
#[derive(Debug)]
pub struct ServiceRouter {
    random: Pcg64Mcg,
    backends: BTreeMap<BackendId, Arc<BackendRecord>>,
    shards: BTreeMap<ShardId, Vec<BackendId>>,
    counters: RouterCounters,
}

impl ServiceRouter {
    /// Makes a router that knows no back end yet.
    pub fn new(_site: AgentSite, _settings: &RoutingSettings, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            backends: BTreeMap::new(),
            shards: BTreeMap::new(),
            counters: RouterCounters::default(),
        }
    }

    /// Takes in the latest view of the service.
    pub fn update(&mut self, _now: Duration, update: ServiceUpdate<'_>) {
        self.backends = update
            .backends
            .iter()
            .map(|record| (record.id.clone(), Arc::clone(record)))
            .collect();
        self.shards = update
            .snapshot
            .shards
            .iter()
            .map(|assignment| (assignment.shard, assignment.replicas.clone()))
            .collect();
    }

    /// Whether a request of this many sub-requests may start.
    pub fn admit(&mut self, _now: Duration, sub_requests: u32) -> Admission {
        self.counters.needed += u64::from(sub_requests);
        Admission::Admitted
    }

    /// Chooses a replica of the shard, none of `exclude`.
    pub fn choose(
        &mut self,
        _now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Option<Chosen> {
        let live: Vec<_> = self
            .shards
            .get(&shard)?
            .iter()
            .filter(|id| !exclude.contains(id))
            .filter_map(|id| self.backends.get(id))
            .filter(|record| record.state == BackendState::Live)
            .collect();
        if live.is_empty() {
            return None;
        }
        let record = live[self.random.random_range(0..live.len())];
        Some(Chosen {
            backend: record.id.clone(),
            address: record.address,
            incarnation: record.incarnation,
        })
    }

    /// Why [`Self::choose`] gives nothing for the shard.
    pub fn no_choice_reason(
        &self,
        _now: Duration,
        _shard: ShardId,
        _exclude: &[BackendId],
    ) -> MissingReason {
        MissingReason::NoReplica
    }

    /// Time after sending at which a hedge may be sent; `None` means do not hedge.
    pub fn hedge_after(
        &self,
        _now: Duration,
        _shard: ShardId,
        _chosen: &BackendId,
    ) -> Option<Duration> {
        None
    }

    /// Takes one attempt beyond the first out of the budget; `false` means not allowed.
    pub fn take_extra(&mut self, _now: Duration, _kind: ExtraKind) -> bool {
        false
    }

    /// Notes that an attempt was sent.
    pub fn sent(&mut self, _now: Duration, _backend: &BackendId) {}

    /// Notes how an attempt ended.
    pub fn finished(&mut self, _now: Duration, _backend: &BackendId, _result: AttemptResult) {}

    /// When a caller whose request was given up may come back.
    pub fn retry_after(&self, _now: Duration) -> Duration {
        Duration::from_millis(200)
    }

    /// What the router saw since the last call, for the other agents.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        Vec::new()
    }

    /// The back ends worth keeping connections to, ascending by id.
    pub fn connections(&self) -> Vec<BackendId> {
        self.backends.keys().cloned().collect()
    }

    /// Counts since the router was made.
    pub fn counters(&self) -> RouterCounters {
        self.counters
    }
}
