//! The interface between the agent and the routing policy.

mod attempt_guard;
mod shared;

use std::{sync::Arc, time::Duration};

use sablehaven_routing::{
    Admission, AgentLocation, AttemptResult, ChosenBackend, ExtraAttemptKind, RouterCounters,
    RouterState, ServiceRouter, ServiceUpdate,
};
use sablehaven_types::{
    BackendId, MissingReason, Observation, RoutingSettings, ServiceName, ShardId,
};

pub use attempt_guard::AttemptGuard;
pub use shared::{Observer, PinnedRouter, PolicyState, SharedRouter};

/// The routing policy of one service. [`ServiceRouter`] implements it in production; benchmarks use a
/// simple baseline instead.
pub trait RoutingPolicy: Send {
    /// See [`ServiceRouter::update`].
    fn update(&mut self, now: Duration, update: ServiceUpdate<'_>);
    /// See [`ServiceRouter::admit`].
    fn admit(&mut self, now: Duration, sub_requests: u32) -> Admission;
    /// See [`ServiceRouter::choose`].
    fn choose(
        &mut self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Option<ChosenBackend>;
    /// See [`ServiceRouter::no_choice_reason`].
    fn no_choice_reason(
        &self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> MissingReason;
    /// See [`ServiceRouter::hedge_after`].
    fn hedge_after(&self, now: Duration, shard: ShardId, chosen: &BackendId) -> Option<Duration>;
    /// See [`ServiceRouter::take_extra`].
    fn take_extra(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool;
    /// See [`ServiceRouter::sent`].
    fn sent(&mut self, now: Duration, backend: &BackendId);
    /// See [`ServiceRouter::finished`].
    fn finished(&mut self, now: Duration, backend: &BackendId, result: AttemptResult);
    /// See [`ServiceRouter::retry_after`].
    fn retry_after(&self, now: Duration) -> Duration;
    /// See [`ServiceRouter::take_observations`].
    fn take_observations(&mut self) -> Vec<Observation>;
    /// See [`ServiceRouter::connections`].
    fn connections(&self) -> Vec<BackendId>;
    /// See [`ServiceRouter::counters`].
    fn counters(&self) -> RouterCounters;
    /// See [`ServiceRouter::state`].
    fn state(&self) -> RouterState;
}

impl RoutingPolicy for ServiceRouter {
    fn update(&mut self, now: Duration, update: ServiceUpdate<'_>) {
        Self::update(self, now, update);
    }

    fn admit(&mut self, now: Duration, sub_requests: u32) -> Admission {
        Self::admit(self, now, sub_requests)
    }

    fn choose(
        &mut self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Option<ChosenBackend> {
        Self::choose(self, now, shard, exclude)
    }

    fn no_choice_reason(
        &self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> MissingReason {
        Self::no_choice_reason(self, now, shard, exclude)
    }

    fn hedge_after(&self, now: Duration, shard: ShardId, chosen: &BackendId) -> Option<Duration> {
        Self::hedge_after(self, now, shard, chosen)
    }

    fn take_extra(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool {
        Self::take_extra(self, now, kind)
    }

    fn sent(&mut self, now: Duration, backend: &BackendId) {
        Self::sent(self, now, backend);
    }

    fn finished(&mut self, now: Duration, backend: &BackendId, result: AttemptResult) {
        Self::finished(self, now, backend, result);
    }

    fn retry_after(&self, now: Duration) -> Duration {
        Self::retry_after(self, now)
    }

    fn take_observations(&mut self) -> Vec<Observation> {
        Self::take_observations(self)
    }

    fn connections(&self) -> Vec<BackendId> {
        Self::connections(self)
    }

    fn counters(&self) -> RouterCounters {
        Self::counters(self)
    }

    fn state(&self) -> RouterState {
        Self::state(self)
    }
}

/// Creates the routing policy of one service.
pub type PolicyFactory = Arc<
    dyn Fn(&ServiceName, AgentLocation, &RoutingSettings) -> Box<dyn RoutingPolicy> + Send + Sync,
>;

/// Returns the factory used in production, which creates a [`ServiceRouter`] with a random seed.
pub fn service_router_factory() -> PolicyFactory {
    Arc::new(|_service, site, settings| {
        Box::new(ServiceRouter::new(site, settings, rand::random()))
    })
}
