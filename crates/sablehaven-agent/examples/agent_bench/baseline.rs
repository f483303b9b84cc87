//! Baseline routing policy: a random replica of each shard, without hedging, retries or an admission limit.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sablehaven_agent::routing::{PolicyFactory, RoutingPolicy};
use sablehaven_routing::{
    Admission, AttemptResult, ChosenBackend, ExtraAttemptKind, RouterCounters, RouterState,
    ServiceUpdate,
};
use sablehaven_types::{BackendId, MissingReason, Observation, ShardId};

/// Retry delay of refused requests; the baseline refuses none.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A policy that chooses a random replica of each shard.
#[derive(Default)]
struct RandomReplicaPolicy {
    replicas: BTreeMap<ShardId, Vec<ChosenBackend>>,
}

/// Returns a factory that creates a baseline policy for each service.
pub fn factory() -> PolicyFactory {
    Arc::new(|_, _, _| Box::new(RandomReplicaPolicy::default()))
}

impl RoutingPolicy for RandomReplicaPolicy {
    fn update(&mut self, _now: Duration, update: ServiceUpdate<'_>) {
        let chosen = |id: &BackendId| {
            let record = update.backends.iter().find(|record| record.id == *id)?;
            Some(ChosenBackend {
                backend: record.id.clone(),
                address: record.address,
                incarnation: record.incarnation,
            })
        };
        let shards = update.snapshot.shards.iter().map(|assignment| {
            let replicas = assignment.replicas.iter().filter_map(chosen);
            (assignment.shard, replicas.collect())
        });
        self.replicas = shards.collect();
    }

    fn admit(&mut self, _now: Duration, _sub_requests: u32) -> Admission {
        Admission::Admitted
    }

    fn choose(
        &mut self,
        _now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Option<ChosenBackend> {
        let replicas = self.replicas.get(&shard)?;
        let candidates: Vec<_> = replicas
            .iter()
            .filter(|chosen| !exclude.contains(&chosen.backend))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let number = usize::try_from(rand::random::<u32>()).expect("at least 32 bits");
        Some(candidates[number % candidates.len()].clone())
    }

    fn no_choice_reason(
        &self,
        _now: Duration,
        _shard: ShardId,
        _exclude: &[BackendId],
    ) -> MissingReason {
        MissingReason::NoReplica
    }

    fn hedge_after(
        &self,
        _now: Duration,
        _shard: ShardId,
        _chosen: &BackendId,
    ) -> Option<Duration> {
        None
    }

    fn take_extra(&mut self, _now: Duration, _kind: ExtraAttemptKind) -> bool {
        false
    }

    fn sent(&mut self, _now: Duration, _backend: &BackendId) {}

    fn finished(&mut self, _now: Duration, _backend: &BackendId, _result: AttemptResult) {}

    fn retry_after(&self, _now: Duration) -> Duration {
        RETRY_AFTER
    }

    fn take_observations(&mut self) -> Vec<Observation> {
        Vec::new()
    }

    fn connections(&self) -> Vec<BackendId> {
        let replicas = self.replicas.values().flatten();
        let mut backends: Vec<_> = replicas.map(|chosen| chosen.backend.clone()).collect();
        backends.sort();
        backends.dedup();
        backends
    }

    fn counters(&self) -> RouterCounters {
        RouterCounters::default()
    }

    fn state(&self) -> RouterState {
        RouterState::default()
    }
}
