//! What one agent knows of one service: settings, back ends, shard plans and averages.

use std::time::Duration;

use sablehaven_types::{BackendId, RoutingSettings};

use crate::backend::BackendTable;
use crate::balance::ServiceAverage;
use crate::choice::Choice;
use crate::interface::{AttemptOutcome, AttemptResult};
use crate::latency::LatencyDistribution;
use crate::plan::Plans;

/// Pressure of the least pressed replica from which a shed tells that the whole service is pressed,
/// not single back ends.
const SERVICE_PRESSED: f64 = 1.0;

/// What one agent knows of one service.
#[derive(Debug)]
pub struct Knowledge {
    /// Limits and routing settings.
    pub settings: RoutingSettings,
    /// The back ends.
    pub table: BackendTable,
    /// The replicas in use, by shard.
    pub plans: Plans,
    /// Averages of load reports.
    pub average: ServiceAverage,
    /// Observed latencies.
    pub latencies: LatencyDistribution,
}

impl Knowledge {
    /// Nothing is known yet but the settings.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            settings: settings.clone(),
            table: BackendTable::default(),
            plans: Plans::default(),
            average: ServiceAverage::default(),
            latencies: LatencyDistribution::new(per_mille(settings.hedge_quantile_per_mille)),
        }
    }

    /// The choice among a shard's members; `None` for a shard that the snapshot does not have.
    pub fn choice<'a>(
        &'a self,
        now: Duration,
        shard: usize,
        exclude: &'a [BackendId],
    ) -> Option<Choice<'a>> {
        Some(Choice {
            now,
            table: &self.table,
            plan: self.plans.get(shard)?,
            exclude,
            average: &self.average,
            latencies: &self.latencies,
            slots: self.settings.slots_per_server,
            slow_start: Duration::from_millis(self.settings.slow_start_ms),
        })
    }

    /// Whether an attempt took longer than most at its distance.
    pub fn is_slow(&self, position: usize, latency: Duration) -> bool {
        let distance = self.table.at(position).distance;
        self.latencies
            .quantile(distance)
            .is_some_and(|quantile| latency >= quantile)
    }

    /// Whether every replica of a shard of this back end is pressed, so that the shed tells of the
    /// service and not of single back ends.
    pub fn service_is_pressed(&self, now: Duration, position: usize) -> bool {
        let shards = &self.table.at(position).shards;
        let plan = shards.first().and_then(|&shard| self.plans.get(shard));
        plan.and_then(|plan| plan.least_pressure(now, &self.table))
            .is_none_or(|pressure| pressure >= SERVICE_PRESSED)
    }

    /// Whether every shard of this back end keeps enough replicas without it.
    pub fn keeps_floor_without(&self, position: usize) -> bool {
        self.table
            .at(position)
            .shards
            .iter()
            .filter_map(|&shard| self.plans.get(shard))
            .all(|plan| plan.keeps_floor_without(&self.table, position))
    }

    /// Takes in one ended attempt: the load report, the latency and the pressure. Whether the
    /// reply came from a newer start of the server than was known.
    pub fn record(&mut self, now: Duration, position: usize, result: &AttemptResult) -> bool {
        let restarted = result.incarnation.is_some_and(|incarnation| {
            let backend = self.table.at_mut(position);
            backend.note_incarnation(now, incarnation)
        });
        self.record_load(now, position, result);
        self.record_latency(now, position, result);
        self.record_pressure(now, position, result);
        restarted
    }

    fn record_load(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        let backend = self.table.at_mut(position);
        if let Some(report) = result.load {
            let own = backend.in_flight;
            backend.reported.record(now, report, own, &mut self.average);
        }
        backend.in_flight = backend.in_flight.saturating_sub(1);
    }

    /// Attempts without a reply count only if they were slow: a short one tells how soon it was
    /// cancelled or refused, not how long the work takes.
    fn record_latency(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        let counts = match result.outcome {
            AttemptOutcome::Replied => true,
            AttemptOutcome::Failed | AttemptOutcome::Cancelled => {
                self.is_slow(position, result.latency)
            }
            _ => false,
        };
        if !counts {
            return;
        }
        let backend = self.table.at_mut(position);
        let average = self.latencies.average(backend.distance);
        backend.response.record(now, result.latency, average);
        self.latencies.record(now, backend.distance, result.latency);
    }

    fn record_pressure(&mut self, now: Duration, position: usize, result: &AttemptResult) {
        match result.outcome {
            AttemptOutcome::Replied => {
                let estimate = self.table.at(position).load(now, &self.average);
                let (load, age) = result.load.map_or((estimate, Duration::ZERO), |report| {
                    (f64::from(report.running_and_queued), report.age)
                });
                let slots = self.settings.slots_per_server;
                let backend = self.table.at_mut(position);
                backend.pressure.replied(now, load, slots, age);
            }
            AttemptOutcome::Shed | AttemptOutcome::DeadlineRefused => {
                self.table.at_mut(position).pressure.shed(now);
            }
            _ => {}
        }
    }
}

/// A share from thousandths.
pub fn per_mille(value: u32) -> f64 {
    f64::from(value) / 1000.0
}
