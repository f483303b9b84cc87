//! Fair sharing of server capacity among tenants when only some of the requests can be admitted.
//!
//! A tenant's load is its demand divided by its weight. Under overload, each tenant is admitted up to one common level
//! of load (max-min fairness). The level is chosen so that the gateway admits exactly the fraction of all requests that
//! it can pass on. The level is at least that fraction of the mean load. A request of a tenant at up to four times the
//! mean load is therefore admitted with at least a quarter of the probability of a tenant at the mean load.
//!
//! A tenant's weight is its quota. A tenant without a quota has the mean weight of the tenants that have one.

use std::time::Duration;

use crate::demand::DemandRate;

/// Half-life of a tenant's demand: a few seconds, so that the estimate outlasts a short pause, and a burst is noticed
/// quickly.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of requests at the mean load from which a tenant's estimate starts. Without them, a single request of a small
/// tenant would look like a burst.
const PRIOR_REQUESTS: f64 = 10.0;
/// The number of standard deviations by which a tenant's load has to exceed the level before the tenant is refused
/// requests. This admits somewhat more than the capacity; gateways notice that and shed more, at the cost of tenants
/// that clearly exceed the level.
const CONFIDENCE_DEVIATIONS: f64 = 2.5;
/// The minimum time between two computations of the level, since each one iterates over all tenants.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Tenants with less demand than this are ignored: it is what remains of a single request after ten half-lives.
const MIN_RATE_PER_SECOND: f64 = 0.000_3;

/// One tenant's recent demand, whether or not its requests were admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentDemand {
    rate: DemandRate,
}

impl RecentDemand {
    /// Creates an estimate without any demand.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            rate: DemandRate::new(DEMAND_HALF_LIFE, now),
        }
    }

    /// Adds a demand for `wanted` tokens.
    pub(crate) fn add(&mut self, now: Duration, wanted: u32) {
        self.rate.add(now, wanted);
    }

    /// Returns the load in requests per second per unit of weight. The fewer requests are known, the closer the result
    /// is to the mean load.
    fn load(&self, now: Duration, weight: f64, mean: f64) -> f64 {
        let weighted_seconds = weight * decay_seconds() + PRIOR_REQUESTS / mean;
        (self.decayed_count(now) + PRIOR_REQUESTS) / weighted_seconds
    }

    /// Returns the load minus what may be random variation, so that a tenant at its usual load is not refused because
    /// some of its requests came close together.
    fn load_lower_bound(&self, now: Duration, weight: f64, mean: f64) -> f64 {
        let count = self.decayed_count(now);
        let deviation = CONFIDENCE_DEVIATIONS * count.sqrt() / (count + PRIOR_REQUESTS);
        self.load(now, weight, mean) * (1.0 - deviation)
    }

    /// Returns the decayed count of the requested tokens.
    fn decayed_count(&self, now: Duration) -> f64 {
        self.rate.per_second(now) * decay_seconds()
    }
}

/// Returns the decayed count that a steady demand of one request per second converges to.
fn decay_seconds() -> f64 {
    DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

/// The loads of all tenants at the last refresh, from which the level is computed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShare {
    refreshed_at: Option<Duration>,
    mean_quota: f64,
    mean_load: f64,
    /// Sorted by ascending load.
    steps: Vec<LoadStep>,
    /// The demand of all tenants, each up to its quota, in requests per second.
    demand: f64,
}

/// One tenant's load, with the sums from which the level is computed.
#[derive(Clone, Copy, Debug)]
struct LoadStep {
    load: f64,
    weight: f64,
    /// The demand of all tenants with a lower load.
    demand_below: f64,
    /// The weight of this tenant and of all tenants with a higher load.
    weight_from: f64,
}

impl FairShare {
    /// Returns whether the loads need a refresh.
    pub(crate) fn is_stale(&self, now: Duration) -> bool {
        let refreshed_at = self.refreshed_at;
        refreshed_at.is_none_or(|refreshed_at| now.saturating_sub(refreshed_at) >= REFRESH_INTERVAL)
    }

    /// Recomputes the loads of all tenants from their demand and their quotas, in requests per second.
    pub(crate) fn refresh<'a>(
        &mut self,
        now: Duration,
        tenants: impl Iterator<Item = (&'a RecentDemand, Option<f64>)> + Clone,
    ) {
        self.refreshed_at = Some(now);
        let quotas = tenants.clone().filter_map(|(_, quota)| quota);
        let (count, sum) =
            quotas.fold((0.0, 0.0), |(count, sum), quota| (count + 1.0, sum + quota));
        self.mean_quota = if count > 0.0 { sum / count } else { 1.0 };
        self.mean_load = self.mean_load_of(now, tenants.clone());
        self.steps.clear();
        if self.mean_load <= 0.0 {
            return;
        }
        for (recent, quota) in tenants {
            if recent.rate.per_second(now) >= MIN_RATE_PER_SECOND {
                self.steps.push(self.load_step_of(now, recent, quota));
            }
        }
        self.compute_sums();
    }

    /// Returns the probability, from 0 to 1, with which a tenant's request is admitted while the fraction `shed`, from
    /// 0 to 1, of all requests has to be refused. `quota` is the tenant's quota in requests per second.
    pub(crate) fn admission_probability(
        &self,
        now: Duration,
        recent: &RecentDemand,
        quota: Option<f64>,
        shed: f64,
    ) -> f64 {
        let weight = quota.unwrap_or(self.mean_quota);
        if self.mean_load <= 0.0 || weight <= 0.0 {
            return 1.0 - shed;
        }
        let load = recent.load_lower_bound(now, weight, self.mean_load);
        (self.level(shed) / load).min(1.0)
    }

    /// Returns the mean load of all tenants, weighted by their weights. Demand above a quota is not counted.
    fn mean_load_of<'a>(
        &self,
        now: Duration,
        tenants: impl Iterator<Item = (&'a RecentDemand, Option<f64>)>,
    ) -> f64 {
        let mut demand = 0.0;
        let mut weights = 0.0;
        for (recent, quota) in tenants {
            let per_second = recent.rate.per_second(now);
            if per_second < MIN_RATE_PER_SECOND {
                continue;
            }
            let weight = quota.unwrap_or(self.mean_quota);
            demand += quota.map_or(per_second, |quota| per_second.min(quota));
            weights += weight;
        }
        if weights > 0.0 { demand / weights } else { 0.0 }
    }

    fn load_step_of(&self, now: Duration, recent: &RecentDemand, quota: Option<f64>) -> LoadStep {
        let weight = quota.unwrap_or(self.mean_quota);
        let load = recent.load(now, weight, self.mean_load);
        LoadStep {
            // Demand above the quota gets no share of the capacity.
            load: if quota.is_some() { load.min(1.0) } else { load },
            weight,
            demand_below: 0.0,
            weight_from: 0.0,
        }
    }

    /// Sorts the steps by load and computes their sums.
    fn compute_sums(&mut self) {
        self.steps
            .sort_unstable_by(|left, right| left.load.total_cmp(&right.load));
        let mut weight_from: f64 = self.steps.iter().map(|step| step.weight).sum();
        self.demand = 0.0;
        for step in &mut self.steps {
            step.demand_below = self.demand;
            step.weight_from = weight_from;
            self.demand += step.load * step.weight;
            weight_from -= step.weight;
        }
    }

    /// Returns the level of load at which the fraction `1 - shed` of the demand is admitted.
    fn level(&self, shed: f64) -> f64 {
        let admitted = self.demand * (1.0 - shed);
        let is_below =
            |step: &LoadStep| step.demand_below + step.load * step.weight_from <= admitted;
        let index = self.steps.partition_point(is_below);
        match self.steps.get(index) {
            Some(step) => (admitted - step.demand_below) / step.weight_from,
            None => f64::INFINITY,
        }
    }
}
