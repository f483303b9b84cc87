//! A scripted routing policy.

use std::time::Duration;

use sablehaven_agent::routing::RoutingPolicy;
use sablehaven_routing::{
    Admission, AttemptResult, ChosenBackend, ExtraAttemptKind, RouterCounters, RouterState,
    ServiceUpdate,
};
use sablehaven_types::{BackendId, MissingReason, Observation, ShardId};

/// The delay before a hedge.
pub const HEDGE_AFTER: Duration = Duration::from_millis(7);

/// A policy that chooses replicas in order and allows a fixed number of extra attempts.
pub struct ScriptedPolicy {
    pub replicas: Vec<BackendId>,
    pub extra_budget: u32,
    /// The extra attempts taken so far.
    pub extra_attempts: Vec<ExtraAttemptKind>,
    /// If set, every request is refused with this retry delay.
    pub refuse_with: Option<Duration>,
}

impl ScriptedPolicy {
    pub fn new(replicas: usize, extra_budget: u32) -> Self {
        Self {
            replicas: (0..replicas)
                .map(|index| BackendId(format!("b{index}")))
                .collect(),
            extra_budget,
            extra_attempts: Vec::new(),
            refuse_with: None,
        }
    }
}

impl RoutingPolicy for ScriptedPolicy {
    fn update(&mut self, _: Duration, _: ServiceUpdate<'_>) {}

    fn admit(&mut self, _: Duration, _: u32) -> Admission {
        match self.refuse_with {
            Some(retry_after) => Admission::Refused { retry_after },
            None => Admission::Admitted,
        }
    }

    fn choose(&mut self, _: Duration, _: ShardId, exclude: &[BackendId]) -> Option<ChosenBackend> {
        let backend = self.replicas.iter().find(|id| !exclude.contains(id))?;
        Some(ChosenBackend {
            backend: backend.clone(),
            address: "127.0.0.1:1".parse().expect("an address"),
            incarnation: 1,
        })
    }

    fn no_choice_reason(&self, _: Duration, _: ShardId, _: &[BackendId]) -> MissingReason {
        MissingReason::NoReplica
    }

    fn hedge_after(&self, _: Duration, _: ShardId, _: &BackendId) -> Option<Duration> {
        Some(HEDGE_AFTER)
    }

    fn take_extra(&mut self, _: Duration, kind: ExtraAttemptKind) -> bool {
        if self.extra_budget == 0 {
            return false;
        }
        self.extra_budget -= 1;
        self.extra_attempts.push(kind);
        true
    }

    fn sent(&mut self, _: Duration, _: &BackendId) {}

    fn finished(&mut self, _: Duration, _: &BackendId, _: AttemptResult) {}

    fn retry_after(&self, _: Duration) -> Duration {
        Duration::ZERO
    }

    fn take_observations(&mut self) -> Vec<Observation> {
        Vec::new()
    }

    fn connections(&self) -> Vec<BackendId> {
        Vec::new()
    }

    fn counters(&self) -> RouterCounters {
        RouterCounters::default()
    }

    fn state(&self) -> RouterState {
        RouterState::default()
    }
}
