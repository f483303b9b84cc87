//! The decisions for one service, assembled from the single mechanisms.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_types::{
    BackendId, MissingReason, Observation, ObservationKind, RoutingSettings, ShardId,
};

use crate::admission::AdmissionLimit;
use crate::budget::ExtraBudget;
use crate::health::{Change, Sign};
use crate::hedging;
use crate::interface::{
    Admission, AgentLocation, AttemptOutcome, AttemptResult, ChosenBackend, ExtraAttemptKind,
    RouterCounters, RouterState, ServiceUpdate,
};
use crate::probe::ProbeAllowance;
use crate::retry_after::retry_after;
use crate::service_state::{Knowledge, per_mille};
use crate::subset::ConnectionBounds;

/// The routing decisions of one agent for one service.
///
/// `now` is the time since an arbitrary start that is the same for all calls, and never goes back.
/// The same seed and the same calls give the same decisions.
#[derive(Debug)]
pub struct ServiceRouter {
    site: AgentLocation,
    random: Pcg64Mcg,
    knowledge: Knowledge,
    budget: ExtraBudget,
    probes: ProbeAllowance,
    admission: AdmissionLimit,
    observations: Vec<Observation>,
    counters: RouterCounters,
    retry_jitter: f64,
}

impl ServiceRouter {
    /// Makes a router that knows no back end yet.
    pub fn new(site: AgentLocation, settings: &RoutingSettings, seed: u64) -> Self {
        Self {
            site,
            random: Pcg64Mcg::seed_from_u64(seed),
            knowledge: Knowledge::new(settings),
            budget: ExtraBudget::new(per_mille(settings.extra_load_per_mille)),
            probes: ProbeAllowance::default(),
            admission: AdmissionLimit::default(),
            observations: Vec::new(),
            counters: RouterCounters::default(),
            retry_jitter: 0.5,
        }
    }

    /// Takes in the latest view of the service.
    pub fn update(&mut self, now: Duration, update: ServiceUpdate<'_>) {
        self.apply_settings(update.settings);
        self.knowledge
            .table
            .update(now, &self.site.placement, update.backends);
        let bounds = ConnectionBounds {
            connections_per_server: self.knowledge.settings.connections_per_server,
            agents: update.agents,
            replica_sets_per_server: 1,
        };
        let random = &mut self.random;
        self.knowledge.plans.update(
            now,
            &mut self.knowledge.table,
            update.snapshot,
            bounds,
            || random.random(),
        );
        self.knowledge
            .plans
            .select_all(&self.site.agent, &self.knowledge.table);
    }

    fn apply_settings(&mut self, settings: &RoutingSettings) {
        if self.knowledge.settings == *settings {
            return;
        }
        self.knowledge.settings = settings.clone();
        self.budget
            .set_share(per_mille(settings.extra_load_per_mille));
        self.knowledge
            .latencies
            .set_quantile(per_mille(settings.hedge_quantile_per_mille));
    }

    /// Whether a request of this many sub-requests may start.
    pub fn admit(&mut self, now: Duration, sub_requests: u32) -> Admission {
        if !self.admission.admit(now, sub_requests) {
            self.counters.refused += 1;
            self.retry_jitter = self.random.random();
            return Admission::Refused {
                retry_after: self.retry_after(now),
            };
        }
        self.counters.needed += u64::from(sub_requests);
        self.budget.earn(now, sub_requests);
        self.probes.earn(sub_requests);
        Admission::Admitted
    }

    /// Chooses a replica of the shard, none of `exclude`. A first attempt (nothing excluded) may
    /// serve as the probe of a back end that is out.
    pub fn choose(
        &mut self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Option<ChosenBackend> {
        let shard = shard.0 as usize;
        self.step_spill(now, shard);
        let position = match self.probe_target(now, shard, exclude) {
            Some(target) => {
                self.knowledge.table.at_mut(target).health.probe(now);
                target
            }
            None => {
                let choice = self.knowledge.choice(now, shard, exclude)?;
                choice.pick(&mut self.random)?
            }
        };
        let record = &self.knowledge.table.at(position).record;
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
        let target = self.knowledge.choice(now, shard, exclude)?.probe_target()?;
        if !self.probes.has_one() || !self.budget.reserve(now) {
            return None;
        }
        self.probes.take();
        Some(target)
    }

    fn step_spill(&mut self, now: Duration, shard: usize) {
        let Some(plan) = self.knowledge.plans.get(shard) else {
            return;
        };
        if !plan.spill.step_due(now) {
            return;
        }
        let pressures = plan.pressures(now, &self.knowledge.table);
        let phase = self.random.random();
        if let Some(plan) = self.knowledge.plans.get_mut(shard) {
            plan.spill.step(now, &pressures, phase);
        }
    }

    /// Why [`Self::choose`] gives nothing for the shard.
    pub fn no_choice_reason(
        &self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> MissingReason {
        self.knowledge
            .choice(now, shard.0 as usize, exclude)
            .map_or(MissingReason::NoReplica, |choice| choice.missing_reason())
    }

    /// Time after sending at which a hedge may be sent; `None` means do not hedge.
    pub fn hedge_after(
        &self,
        now: Duration,
        shard: ShardId,
        chosen: &BackendId,
    ) -> Option<Duration> {
        let position = self.knowledge.table.position(chosen)?;
        let exclude = std::slice::from_ref(chosen);
        let choice = self.knowledge.choice(now, shard.0 as usize, exclude)?;
        let quantile = self
            .knowledge
            .latencies
            .quantile(self.knowledge.table.at(position).distance);
        hedging::hedge_after(
            quantile,
            choice.least_ready_load(),
            self.knowledge.settings.slots_per_server,
        )
    }

    /// Takes one attempt beyond the first out of the budget; `false` means not allowed.
    pub fn take_extra(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool {
        if !self.budget.take(now, kind) {
            self.counters.extra_refused += 1;
            return false;
        }
        match kind {
            ExtraAttemptKind::Hedge => self.counters.hedges += 1,
            ExtraAttemptKind::Retry => self.counters.retries += 1,
        }
        true
    }

    /// Notes that an attempt was sent.
    pub fn sent(&mut self, _now: Duration, backend: &BackendId) {
        if let Some(position) = self.knowledge.table.position(backend) {
            self.knowledge.table.at_mut(position).in_flight += 1;
        }
    }

    /// Notes how an attempt ended.
    pub fn finished(&mut self, now: Duration, backend: &BackendId, result: AttemptResult) {
        self.count(result.outcome);
        let Some(position) = self.knowledge.table.position(backend) else {
            return;
        };
        if self.knowledge.record(now, position, &result) {
            self.select_shards_of(position);
        }
        if self.knowledge.table.at_mut(position).health.end_probe() {
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
            AttemptOutcome::Replied => self.admission.finished(now, false),
            AttemptOutcome::Shed | AttemptOutcome::DeadlineRefused => {
                self.budget.shed(now);
                let pressed = self.knowledge.service_is_pressed(now, position);
                self.admission.finished(now, pressed);
            }
            _ => {}
        }
    }

    fn record_health(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        let sign = match result.outcome {
            AttemptOutcome::Replied => Sign::Answered,
            AttemptOutcome::Shed => Sign::Shed,
            AttemptOutcome::Draining => {
                self.drains(position, result.incarnation);
                return;
            }
            AttemptOutcome::SnapshotGone | AttemptOutcome::DeadlineRefused => Sign::Refused,
            AttemptOutcome::Failed => Sign::Failed,
            AttemptOutcome::Cancelled if self.knowledge.is_slow(position, result.latency) => {
                Sign::SlowCancel
            }
            AttemptOutcome::Cancelled => return,
        };
        let jitter = self.random.random();
        let health = &mut self.knowledge.table.at_mut(position).health;
        match health.record(now, sign, jitter) {
            Change::None => {}
            Change::ShouldEject => self.eject_if_allowed(now, position, jitter),
            Change::Reinstated => self.reinstate(now, position),
        }
    }

    fn drains(&mut self, position: usize, incarnation: Option<u64>) {
        let backend = self.knowledge.table.at_mut(position);
        let incarnation = incarnation.unwrap_or_else(|| backend.health.incarnation());
        if !backend.health.drains(incarnation) {
            return;
        }
        self.observe(position, ObservationKind::Draining);
        self.select_shards_of(position);
    }

    fn eject_if_allowed(&mut self, now: Duration, position: usize, jitter: f64) {
        if !self.knowledge.keeps_floor_without(position) {
            return;
        }
        self.knowledge
            .table
            .at_mut(position)
            .health
            .eject(now, jitter);
        self.counters.ejections += 1;
        self.observe(position, ObservationKind::Unreachable);
        self.select_shards_of(position);
    }

    fn reinstate(&mut self, now: Duration, position: usize) {
        self.knowledge.table.at_mut(position).begin_slow_start(now);
        self.observe(position, ObservationKind::Reachable);
        self.select_shards_of(position);
    }

    fn select_shards_of(&mut self, position: usize) {
        self.knowledge
            .plans
            .select_shards_of(&self.site.agent, &self.knowledge.table, position);
    }

    fn observe(&mut self, position: usize, kind: ObservationKind) {
        let backend = self.knowledge.table.at_mut(position);
        if !backend.health.report(kind) {
            return;
        }
        self.observations.push(Observation {
            backend: backend.record.id.clone(),
            service: backend.record.service.clone(),
            incarnation: backend.health.incarnation(),
            kind,
        });
    }

    /// When a caller whose request was given up may come back.
    pub fn retry_after(&self, now: Duration) -> Duration {
        retry_after(self.admission.excess(now), self.retry_jitter)
    }

    /// What the router saw since the last call, for the other agents.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.observations)
    }

    /// The back ends worth keeping connections to, ascending by id.
    pub fn connections(&self) -> Vec<BackendId> {
        let mut ids: Vec<BackendId> = self
            .knowledge
            .plans
            .iter()
            .flat_map(|plan| plan.members.iter())
            .map(|&member| self.knowledge.table.at(member).record.id.clone())
            .collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// Counts since the router was made.
    pub fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// What the mechanisms are set to now.
    pub fn state(&self) -> RouterState {
        let ejected = self
            .knowledge
            .table
            .iter()
            .filter(|backend| backend.health.is_ejected())
            .count();
        RouterState {
            budget_factor: self.budget.factor(),
            admission_limit: self.admission.limit(),
            remote_share: self.knowledge.plans.remote_share(),
            ejected: u32::try_from(ejected).unwrap_or(u32::MAX),
        }
    }
}
