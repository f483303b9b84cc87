//! Routing decisions for one service, combined from the individual mechanisms.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_types::{
    BackendId, MissingReason, Observation, ObservationKind, RoutingSettings, ShardId,
};

use crate::admission::AdmissionLimit;
use crate::budget::ExtraAttemptBudget;
use crate::health::{HealthChange, HealthSignal};
use crate::hedging;
use crate::interface::{
    Admission, AgentLocation, AttemptOutcome, AttemptResult, ChosenBackend, ExtraAttemptKind,
    RouterCounters, RouterState, ServiceUpdate,
};
use crate::probe::ProbeBudget;
use crate::retry_after::retry_after;
use crate::service_state::{ServiceState, per_mille};
use crate::subset::ConnectionBounds;

/// The routing decisions of one agent for one service.
///
/// `now` is the time since an arbitrary origin. The origin is the same for all calls and time never
/// goes backwards. The same seed and the same calls give the same decisions.
#[derive(Debug)]
pub struct ServiceRouter {
    location: AgentLocation,
    random: Pcg64Mcg,
    service: ServiceState,
    budget: ExtraAttemptBudget,
    probe_budget: ProbeBudget,
    admission: AdmissionLimit,
    observations: Vec<Observation>,
    counters: RouterCounters,
    retry_jitter: f64,
}

impl ServiceRouter {
    /// Creates a router that knows no back ends yet.
    pub fn new(location: AgentLocation, settings: &RoutingSettings, seed: u64) -> Self {
        Self {
            location,
            random: Pcg64Mcg::seed_from_u64(seed),
            service: ServiceState::new(settings),
            budget: ExtraAttemptBudget::new(per_mille(settings.extra_load_per_mille)),
            probe_budget: ProbeBudget::default(),
            admission: AdmissionLimit::default(),
            observations: Vec::new(),
            counters: RouterCounters::default(),
            retry_jitter: 0.5,
        }
    }

    /// Applies the latest shared state of the service.
    pub fn update(&mut self, now: Duration, update: ServiceUpdate<'_>) {
        self.apply_settings(update.settings);
        self.service
            .table
            .update(now, &self.location.placement, update.backends);
        let bounds = ConnectionBounds {
            connections_per_server: self.service.settings.connections_per_server,
            agents: update.agents,
            replica_sets_per_server: 1,
        };
        let random = &mut self.random;
        self.service.plans.update(
            now,
            &mut self.service.table,
            update.snapshot,
            bounds,
            || random.random(),
        );
        self.service
            .plans
            .select_all(&self.location.agent, &self.service.table);
    }

    fn apply_settings(&mut self, settings: &RoutingSettings) {
        if self.service.settings == *settings {
            return;
        }
        self.service.settings = settings.clone();
        self.budget
            .set_share(per_mille(settings.extra_load_per_mille));
        self.service
            .latencies
            .set_quantile(per_mille(settings.hedge_quantile_per_mille));
    }

    /// Returns whether a request with this many sub-requests may start.
    pub fn admit(&mut self, now: Duration, sub_requests: u32) -> Admission {
        if !self.admission.admit(now, sub_requests) {
            self.counters.refused += 1;
            self.retry_jitter = self.random.random();
            return Admission::Refused {
                retry_after: self.retry_after(now),
            };
        }
        self.counters.needed += u64::from(sub_requests);
        self.budget.deposit(now, sub_requests);
        self.probe_budget.deposit(sub_requests);
        Admission::Admitted
    }

    /// Chooses a replica of the shard that is not in `exclude`. A first attempt (nothing excluded)
    /// may serve as the probe of a back end that receives no ordinary work.
    pub fn choose(
        &mut self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Option<ChosenBackend> {
        let shard = shard.0 as usize;
        self.adjust_spill(now, shard);
        let position = match self.probe_target(now, shard, exclude) {
            Some(target) => {
                self.service.table.at_mut(target).health.start_probe(now);
                target
            }
            None => {
                let selector = self.service.replica_selector(now, shard, exclude)?;
                selector.pick(&mut self.random)?
            }
        };
        let record = &self.service.table.at(position).record;
        Some(ChosenBackend {
            backend: record.id.clone(),
            address: record.address,
            incarnation: record.incarnation,
        })
    }

    fn probe_target(
        &mut self,
        now: Duration,
        shard: usize,
        exclude: &[BackendId],
    ) -> Option<usize> {
        if !exclude.is_empty() {
            return None;
        }
        let target = self
            .service
            .replica_selector(now, shard, exclude)?
            .probe_target()?;
        if !self.probe_budget.has_token() || !self.budget.reserve(now) {
            return None;
        }
        self.probe_budget.withdraw();
        Some(target)
    }

    fn adjust_spill(&mut self, now: Duration, shard: usize) {
        let Some(plan) = self.service.plans.get(shard) else {
            return;
        };
        if !plan.spill.is_step_due(now) {
            return;
        }
        let pressures = plan.pressures(now, &self.service.table);
        let phase = self.random.random();
        if let Some(plan) = self.service.plans.get_mut(shard) {
            plan.spill.step(now, &pressures, phase);
        }
    }

    /// Returns why [`Self::choose`] finds no back end for the shard.
    pub fn no_choice_reason(
        &self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> MissingReason {
        self.service
            .replica_selector(now, shard.0 as usize, exclude)
            .map_or(MissingReason::NoReplica, |selector| {
                selector.missing_reason()
            })
    }

    /// Returns the time after sending at which a hedge may be sent, or `None` for no hedge.
    pub fn hedge_after(
        &self,
        now: Duration,
        shard: ShardId,
        chosen: &BackendId,
    ) -> Option<Duration> {
        let position = self.service.table.position(chosen)?;
        let exclude = std::slice::from_ref(chosen);
        let selector = self
            .service
            .replica_selector(now, shard.0 as usize, exclude)?;
        let quantile = self
            .service
            .latencies
            .quantile(self.service.table.at(position).distance);
        hedging::hedge_after(
            quantile,
            selector.least_ready_load(),
            self.service.settings.slots_per_server,
        )
    }

    /// Charges one attempt beyond the first to the budget. Returns `false` if it is not allowed.
    pub fn take_extra(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool {
        if !self.budget.withdraw(now, kind) {
            self.counters.extra_refused += 1;
            return false;
        }
        match kind {
            ExtraAttemptKind::Hedge => self.counters.hedges += 1,
            ExtraAttemptKind::Retry => self.counters.retries += 1,
        }
        true
    }

    /// Records that an attempt was sent.
    pub fn sent(&mut self, _now: Duration, backend: &BackendId) {
        if let Some(position) = self.service.table.position(backend) {
            self.service.table.at_mut(position).in_flight += 1;
        }
    }

    /// Records how an attempt ended.
    pub fn finished(&mut self, now: Duration, backend: &BackendId, result: AttemptResult) {
        self.count(result.outcome);
        let Some(position) = self.service.table.position(backend) else {
            return;
        };
        if self.service.record(now, position, &result) {
            self.select_shards_of(position);
        }
        if self.service.table.at_mut(position).health.end_probe() {
            self.budget.release();
        }
        self.record_overload(now, position, result.outcome);
        self.record_health(now, position, &result);
    }

    fn count(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Shed => self.counters.sheds += 1,
            AttemptOutcome::Failed => self.counters.failures += 1,
            AttemptOutcome::Cancelled => self.counters.cancelled += 1,
            AttemptOutcome::Replied
            | AttemptOutcome::Draining
            | AttemptOutcome::SnapshotGone
            | AttemptOutcome::DeadlineRefused => {}
        }
    }

    fn record_overload(&mut self, now: Duration, position: usize, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Replied => self.admission.record_attempt(now, false),
            AttemptOutcome::Shed | AttemptOutcome::DeadlineRefused => {
                self.budget.record_shed(now);
                let is_overloaded = self.service.is_service_overloaded(now, position);
                self.admission.record_attempt(now, is_overloaded);
            }
            _ => {}
        }
    }

    fn record_health(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        let signal = match result.outcome {
            AttemptOutcome::Replied => HealthSignal::Replied,
            AttemptOutcome::Shed => HealthSignal::Shed,
            AttemptOutcome::Draining => {
                self.record_draining(position, result.incarnation);
                return;
            }
            AttemptOutcome::SnapshotGone | AttemptOutcome::DeadlineRefused => HealthSignal::Refused,
            AttemptOutcome::Failed => HealthSignal::Failed,
            AttemptOutcome::Cancelled if self.service.is_slow(position, result.latency) => {
                HealthSignal::SlowCancelled
            }
            AttemptOutcome::Cancelled => return,
        };
        let jitter = self.random.random();
        let health = &mut self.service.table.at_mut(position).health;
        match health.record(now, signal, jitter) {
            HealthChange::None => {}
            HealthChange::ShouldEject => self.eject_if_allowed(now, position, jitter),
            HealthChange::Reinstated => self.reinstate(now, position),
        }
    }

    fn record_draining(&mut self, position: usize, incarnation: Option<u64>) {
        let backend = self.service.table.at_mut(position);
        let incarnation = incarnation.unwrap_or_else(|| backend.health.incarnation());
        if !backend.health.mark_draining(incarnation) {
            return;
        }
        self.queue_observation(position, ObservationKind::Draining);
        self.select_shards_of(position);
    }

    fn eject_if_allowed(&mut self, now: Duration, position: usize, jitter: f64) {
        if !self.service.keeps_minimum_without(position) {
            return;
        }
        self.service
            .table
            .at_mut(position)
            .health
            .eject(now, jitter);
        self.counters.ejections += 1;
        self.queue_observation(position, ObservationKind::Unreachable);
        self.select_shards_of(position);
    }

    fn reinstate(&mut self, now: Duration, position: usize) {
        self.service.table.at_mut(position).begin_slow_start(now);
        self.queue_observation(position, ObservationKind::Reachable);
        self.select_shards_of(position);
    }

    fn select_shards_of(&mut self, position: usize) {
        self.service
            .plans
            .select_shards_of(&self.location.agent, &self.service.table, position);
    }

    fn queue_observation(&mut self, position: usize, kind: ObservationKind) {
        let backend = self.service.table.at_mut(position);
        if !backend.health.mark_reported(kind) {
            return;
        }
        self.observations.push(Observation {
            backend: backend.record.id.clone(),
            service: backend.record.service.clone(),
            incarnation: backend.health.incarnation(),
            kind,
        });
    }

    /// Returns the delay after which the caller of a refused or abandoned request may retry.
    pub fn retry_after(&self, now: Duration) -> Duration {
        retry_after(self.admission.overload_ratio(now), self.retry_jitter)
    }

    /// Returns the observations since the last call, for the other agents.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.observations)
    }

    /// Returns the back ends to keep connections to, ascending by id.
    pub fn connections(&self) -> Vec<BackendId> {
        let mut ids: Vec<BackendId> = self
            .service
            .plans
            .iter()
            .flat_map(|plan| plan.members.iter())
            .map(|&member| self.service.table.at(member).record.id.clone())
            .collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// Returns the counters since the router was created.
    pub fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// Returns the current state of the mechanisms.
    pub fn state(&self) -> RouterState {
        let ejected = self
            .service
            .table
            .iter()
            .filter(|backend| backend.health.is_ejected())
            .count();
        RouterState {
            budget_factor: self.budget.factor(),
            admission_limit: self.admission.limit(),
            remote_share: self.service.plans.remote_share(),
            ejected: u32::try_from(ejected).unwrap_or(u32::MAX),
        }
    }
}
