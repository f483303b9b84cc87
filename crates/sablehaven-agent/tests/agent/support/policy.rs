//! A routing policy that does what the test says.

use std::time::Duration;

use sablehaven_agent::routing::RoutingPolicy;
use sablehaven_routing::{
    Admission, AttemptResult, ChosenBackend, ExtraAttemptKind, RouterCounters, RouterState,
    ServiceUpdate,
};
use sablehaven_types::{BackendId, MissingReason, Observation, ShardId};

pub const HEDGE_AFTER: Duration = Duration::from_millis(7);

/// Replicas in order, and a number of extra attempts that the budget allows.
pub struct Scripted {
    pub replicas: Vec<BackendId>,
    pub budget: u32,
    pub taken: Vec<ExtraAttemptKind>,
    /// When a refused caller may come back; `None` refuses nobody.
    pub refuses: Option<Duration>,
}

impl Scripted {
    pub fn new(replicas: usize, budget: u32) -> Self {
        Self {
            replicas: (0..replicas)
                .map(|index| BackendId(format!("b{index}")))
                .collect(),
            budget,
            taken: Vec::new(),
            refuses: None,
        }
    }
}

impl RoutingPolicy for Scripted {
    fn update(&mut self, _: Duration, _: ServiceUpdate<'_>) {}

    fn admit(&mut self, _: Duration, _: u32) -> Admission {
        match self.refuses {
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
        if self.budget == 0 {
            return false;
        }
        self.budget -= 1;
        self.taken.push(kind);
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
