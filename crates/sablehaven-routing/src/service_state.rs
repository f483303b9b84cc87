//! One agent's state for one service: settings, back ends, shard plans and averages.

use std::time::Duration;

use sablehaven_types::{BackendId, RoutingSettings};

use crate::backend::BackendTable;
use crate::balance::AverageLoad;
use crate::choice::ReplicaSelector;
use crate::interface::{AttemptOutcome, AttemptResult};
use crate::latency::LatencyDistribution;
use crate::plan::ShardPlans;

/// Pressure of the least loaded replica at which a shed attempt is attributed to the whole service
/// rather than to a single back end.
const OVERLOADED_PRESSURE: f64 = 1.0;

/// One agent's state for one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Limits and routing settings.
    pub settings: RoutingSettings,
    /// Back ends of the service.
    pub table: BackendTable,
    /// Replicas in use, by shard.
    pub plans: ShardPlans,
    /// Average of the load reports.
    pub average_load: AverageLoad,
    /// Observed latencies.
    pub latencies: LatencyDistribution,
}

impl ServiceState {
    /// Creates the state before anything but the settings is known.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            settings: settings.clone(),
            table: BackendTable::default(),
            plans: ShardPlans::default(),
            average_load: AverageLoad::default(),
            latencies: LatencyDistribution::new(per_mille(settings.hedge_quantile_per_mille)),
        }
    }

    /// Returns the selector for the replicas of a shard, or `None` for a shard that the snapshot
    /// does not contain.
    pub fn replica_selector<'a>(
        &'a self,
        now: Duration,
        shard: usize,
        exclude: &'a [BackendId],
    ) -> Option<ReplicaSelector<'a>> {
        Some(ReplicaSelector {
            now,
            table: &self.table,
            plan: self.plans.get(shard)?,
            exclude,
            average_load: &self.average_load,
            latencies: &self.latencies,
            slots: self.settings.slots_per_server,
            slow_start_duration: Duration::from_millis(self.settings.slow_start_ms),
        })
    }

    /// Returns whether an attempt took longer than most at its distance: at least the hedge
    /// quantile.
    pub fn is_slow(&self, position: usize, latency: Duration) -> bool {
        let distance = self.table.at(position).distance;
        self.latencies
            .quantile(distance)
            .is_some_and(|quantile| latency >= quantile)
    }

    /// Returns whether every replica of a shard of this back end is overloaded, so that a shed
    /// attempt indicates an overloaded service and not a single overloaded back end.
    pub fn is_service_overloaded(&self, now: Duration, position: usize) -> bool {
        let shards = &self.table.at(position).shards;
        let plan = shards.first().and_then(|&shard| self.plans.get(shard));
        plan.and_then(|plan| plan.least_pressure(now, &self.table))
            .is_none_or(|pressure| pressure >= OVERLOADED_PRESSURE)
    }

    /// Returns whether every shard of this back end keeps enough replicas without it.
    pub fn keeps_minimum_without(&self, position: usize) -> bool {
        self.table
            .at(position)
            .shards
            .iter()
            .filter_map(|&shard| self.plans.get(shard))
            .all(|plan| plan.keeps_minimum_without(&self.table, position))
    }

    /// Applies the result of one attempt to the load, latency and pressure. Returns whether the
    /// reply came from a newer incarnation of the server than the known one.
    pub fn record(&mut self, now: Duration, position: usize, result: &AttemptResult) -> bool {
        let has_restarted = result.incarnation.is_some_and(|incarnation| {
            let backend = self.table.at_mut(position);
            backend.update_incarnation(now, incarnation)
        });
        self.record_load(now, position, result);
        self.record_latency(now, position, result);
        self.record_pressure(now, position, result);
        has_restarted
    }

    fn record_load(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        let backend = self.table.at_mut(position);
        if let Some(report) = result.load {
            let own_in_flight = backend.in_flight;
            backend
                .reported_load
                .record(now, report, own_in_flight, &mut self.average_load);
        }
        backend.in_flight = backend.in_flight.saturating_sub(1);
    }

    /// Records the latency. Attempts without a reply count only if they were slow: a short latency
    /// shows how soon the attempt was cancelled or refused, not how long the work takes.
    fn record_latency(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        let is_counted = match result.outcome {
            AttemptOutcome::Replied => true,
            AttemptOutcome::Failed | AttemptOutcome::Cancelled => {
                self.is_slow(position, result.latency)
            }
            _ => false,
        };
        if !is_counted {
            return;
        }
        let backend = self.table.at_mut(position);
        let average_seconds = self.latencies.average_seconds(backend.distance);
        backend
            .response_time
            .record(now, result.latency, average_seconds);
        self.latencies.record(now, backend.distance, result.latency);
    }

    fn record_pressure(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        match result.outcome {
            AttemptOutcome::Replied => {
                let estimate = self.table.at(position).load(now, &self.average_load);
                let (load, age) = result.load.map_or((estimate, Duration::ZERO), |report| {
                    (f64::from(report.running_and_queued), report.age)
                });
                let slots = self.settings.slots_per_server;
                let backend = self.table.at_mut(position);
                backend.pressure.record_reply(now, load, slots, age);
            }
            AttemptOutcome::Shed | AttemptOutcome::DeadlineRefused => {
                self.table.at_mut(position).pressure.record_shed(now);
            }
            _ => {}
        }
    }
}

/// Converts thousandths to a share.
pub fn per_mille(value: u32) -> f64 {
    f64::from(value) / 1000.0
}
