//! The choice of one replica: power of two choices among the ready ones at the drawn distance.
//!
//! Two candidates drawn at random, the less costly wins (Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001). Taking the least costly of all instead would send every agent
//! to the same back end whenever reports lag.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sablehaven_types::{BackendId, MissingReason};

use crate::backend::{Backend, BackendTable};
use crate::balance::{ServiceAverage, cost};
use crate::health::Availability;
use crate::latency::LatencyDistribution;
use crate::plan::ShardPlan;
use sablehaven_types::{DISTANCES, Distance};

/// Costs that differ by less than this factor are a tie, decided by the draw: the difference is
/// within the noise of the estimates.
const TIE: f64 = 0.95;

/// All that a choice looks at.
pub struct Choice<'a> {
    /// The time.
    pub now: Duration,
    /// The back ends.
    pub table: &'a BackendTable,
    /// The shard.
    pub plan: &'a ShardPlan,
    /// Back ends that were tried already.
    pub exclude: &'a [BackendId],
    /// Averages of load reports.
    pub average: &'a ServiceAverage,
    /// Average latencies.
    pub latencies: &'a LatencyDistribution,
    /// Requests that one back end runs at the same time.
    pub slots: u32,
    /// Time in which a cold back end grows to its full share.
    pub slow_start: Duration,
}

impl Choice<'_> {
    /// A back end that is out and whose probe is due.
    pub fn probe_target(&self) -> Option<usize> {
        self.members()
            .find(|&member| self.table.at(member).health.probe_due(self.now))
    }

    /// The back end for one attempt. A first attempt falls back to replicas that are pressed, then
    /// to ejected ones, before the shard goes missing; another attempt does not.
    pub fn pick(&self, random: &mut Pcg64Mcg) -> Option<usize> {
        let preferred = self.plan.spill.distance(random.random());
        if let Some(ready) = self.pick_ready(preferred, random) {
            return Some(ready);
        }
        if !self.exclude.is_empty() {
            return None;
        }
        self.least_costly(Availability::Pressed)
            .or_else(|| self.least_costly(Availability::Ejected))
    }

    /// Why [`Self::pick`] gives nothing.
    pub fn missing_reason(&self) -> MissingReason {
        let mut best = None;
        for &member in &self.plan.members {
            let availability = self.table.at(member).health.availability(self.now);
            best = best.min(Some(availability)).or(Some(availability));
        }
        match best {
            None | Some(Availability::Gone) => MissingReason::NoReplica,
            Some(Availability::Pressed) => MissingReason::Shed,
            Some(Availability::Ready | Availability::Ejected) => MissingReason::Failed,
        }
    }

    /// The estimated load of the least loaded ready replica.
    pub fn least_ready_load(&self) -> Option<f64> {
        self.members()
            .map(|member| self.table.at(member))
            .filter(|backend| self.is_ready(backend))
            .map(|backend| backend.load(self.now, self.average))
            .min_by(f64::total_cmp)
    }

    fn members(&self) -> impl Iterator<Item = usize> {
        self.plan
            .members
            .iter()
            .copied()
            .filter(|&member| !self.exclude.contains(&self.table.at(member).record.id))
    }

    fn is_ready(&self, backend: &Backend) -> bool {
        backend.health.availability(self.now) == Availability::Ready
    }

    /// Picks at the preferred distance, or else farther out, or else nearer.
    fn pick_ready(&self, preferred: Distance, random: &mut Pcg64Mcg) -> Option<usize> {
        let outward = DISTANCES[preferred.index()..].iter();
        let inward = DISTANCES[..preferred.index()].iter().rev();
        outward
            .chain(inward)
            .find_map(|&distance| self.pick_at(distance, random))
    }

    fn pick_at(&self, distance: Distance, random: &mut Pcg64Mcg) -> Option<usize> {
        let pair = self.draw_pair(distance, true, random);
        let (first, second) = match pair {
            (None, _) => self.draw_pair(distance, false, random),
            pair => pair,
        };
        let first = first?;
        match second {
            Some(second) => Some(self.cheaper(first, second)),
            None => Some(self.relieved_by_region(first, distance, random)),
        }
    }

    /// Draws two ready members at a distance, all equally likely. With `weighted`, one that is
    /// cold or sheds takes part only as often as its weight says.
    fn draw_pair(
        &self,
        distance: Distance,
        weighted: bool,
        random: &mut Pcg64Mcg,
    ) -> (Option<usize>, Option<usize>) {
        let mut pair = [None, None];
        let mut seen = 0usize;
        for member in self.members() {
            let backend = self.table.at(member);
            if backend.distance != distance || !self.is_ready(backend) {
                continue;
            }
            let weight = backend.slow_start.weight(self.now, self.slow_start)
                * backend.pressure.shed_weight(self.now);
            if weighted && weight < 1.0 && random.random::<f64>() >= weight {
                continue;
            }
            seen += 1;
            if seen <= pair.len() {
                pair[seen - 1] = Some(member);
                continue;
            }
            let slot = random.random_range(0..seen);
            if slot < pair.len() {
                pair[slot] = Some(member);
            }
        }
        // The first wins a tie, so it must not be the one that comes first in the list.
        if pair[1].is_some() && random.random() {
            pair.swap(0, 1);
        }
        (pair[0], pair[1])
    }

    fn cheaper(&self, first: usize, second: usize) -> usize {
        if self.cost(second) < TIE * self.cost(first) {
            second
        } else {
            first
        }
    }

    /// The only ready member in the agent's zone passes work to the region while it has no free
    /// slot and another one is less loaded. Other regions get work only through the spill share,
    /// which is damped.
    fn relieved_by_region(&self, only: usize, distance: Distance, random: &mut Pcg64Mcg) -> usize {
        if distance != Distance::Zone {
            return only;
        }
        let load = self.load(only);
        if load < f64::from(self.slots) {
            return only;
        }
        let (first, second) = self.draw_pair(Distance::Region, true, random);
        let Some(first) = first else {
            return only;
        };
        let other = second.map_or(first, |second| self.cheaper(first, second));
        if self.load(other) + 1.0 < load {
            other
        } else {
            only
        }
    }

    fn least_costly(&self, availability: Availability) -> Option<usize> {
        self.members()
            .filter(|&member| self.table.at(member).health.availability(self.now) == availability)
            .min_by(|&first, &second| self.cost(first).total_cmp(&self.cost(second)))
    }

    fn load(&self, member: usize) -> f64 {
        self.table.at(member).load(self.now, self.average)
    }

    fn cost(&self, member: usize) -> f64 {
        let backend = self.table.at(member);
        let average = self.latencies.average(backend.distance);
        let cost = cost(
            self.load(member),
            backend.response.factor(self.now, average),
            backend.slow_start.weight(self.now, self.slow_start),
        );
        cost / backend.pressure.shed_weight(self.now)
    }
}
