//! Who passes when there is room for a part of the requests only.
//!
//! The load is too little room at servers while tenants ask unequally. Each tenant passes up to one level of demand
//! relative to its weight (max-min fairness); the level is where the part that the gateway can bear passes. Since that
//! level is at least the bearable part of the mean load, a tenant at up to four times the mean load has at least a quarter
//! of what the mean tenant has of its demand.
//!
//! A tenant's weight is its quota. One without a quota weighs as much as the mean of those that have one.

use std::time::Duration;

use crate::demand::DemandRate;

/// Memory of what a tenant asks for: some seconds, so that a tenant keeps its place through a pause and a burst is seen
/// soon.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Requests that a tenant's estimate starts from, at the mean load. Without them, one request of a small tenant looks
/// like a burst.
const PRIOR_REQUESTS: f64 = 10.0;
/// Standard deviations by which a tenant has to be above the level before it is refused for it. What passes beyond the
/// room by this, gateways see, and refuse more; those that are surely above the level bear it.
const CONFIDENCE_DEVIATIONS: f64 = 2.5;
/// The level is found anew after this time at the earliest, since that goes over all tenants.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Demand below which a tenant is as good as gone: a single request, ten half-lives ago.
const MIN_RATE_PER_SECOND: f64 = 0.000_3;

/// What one tenant asks for lately, whether or not it passes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentDemand {
    rate: DemandRate,
}

impl RecentDemand {
    /// Nothing yet.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            rate: DemandRate::new(DEMAND_HALF_LIFE, now),
        }
    }

    /// Counts tokens that are asked for.
    pub(crate) fn add(&mut self, now: Duration, wanted: u32) {
        self.rate.add(now, wanted);
    }

    /// Requests a second for each unit of weight, drawn towards the mean as far as little is known.
    fn load(&self, now: Duration, weight: f64, mean: f64) -> f64 {
        let weighted_seconds = weight * decay_seconds() + PRIOR_REQUESTS / mean;
        (self.decayed_count(now) + PRIOR_REQUESTS) / weighted_seconds
    }

    /// The load less what chance may have added: a tenant at its usual is not refused because some of its requests came
    /// close together.
    fn load_lower_bound(&self, now: Duration, weight: f64, mean: f64) -> f64 {
        let count = self.decayed_count(now);
        let deviation = CONFIDENCE_DEVIATIONS * count.sqrt() / (count + PRIOR_REQUESTS);
        self.load(now, weight, mean) * (1.0 - deviation)
    }

    fn decayed_count(&self, now: Duration) -> f64 {
        self.rate.per_second(now) * decay_seconds()
    }
}

/// What a second's steady demand adds up to in a count that decays.
fn decay_seconds() -> f64 {
    DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

/// The loads of all tenants as of some time ago, from which the level follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShare {
    refreshed_at: Option<Duration>,
    mean_quota: f64,
    mean_load: f64,
    /// In ascending order of the loads, with the sums of demand up to there and of weight beyond.
    steps: Vec<LoadStep>,
    /// The demand of all tenants within their quotas, in requests a second.
    demand: f64,
}

#[derive(Clone, Copy, Debug)]
struct LoadStep {
    load: f64,
    weight: f64,
    demand_below: f64,
    weight_from: f64,
}

impl FairShare {
    /// Whether the loads are to be taken anew.
    pub(crate) fn is_stale(&self, now: Duration) -> bool {
        let refreshed_at = self.refreshed_at;
        refreshed_at.is_none_or(|refreshed_at| now.saturating_sub(refreshed_at) >= REFRESH_INTERVAL)
    }

    /// Takes the loads of all tenants: what each asked for, and its quota in requests a second.
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

    /// The chance, 0 to 1, with which a request of a tenant passes while the part `shed` of all requests has to be refused,
    /// 0 to 1 too. `quota` is the tenant's, in requests a second.
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
            // What is asked beyond the quota has no claim to room.
            load: if quota.is_some() { load.min(1.0) } else { load },
            weight,
            demand_below: 0.0,
            weight_from: 0.0,
        }
    }

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

    /// The level at which all but `shed` of the demand passes.
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
