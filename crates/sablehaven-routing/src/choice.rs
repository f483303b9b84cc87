//! Selection of one replica by power of two choices among the ready replicas at a randomly drawn
//! distance.
//!
//! Of two candidates drawn at random, the one with the lower cost is chosen (Mitzenmacher, "The
//! Power of Two Choices in Randomized Load Balancing", 2001). Choosing the replica with the lowest
//! cost of all would send every agent to the same back end whenever load reports are delayed.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sablehaven_types::{BackendId, MissingReason};

use crate::backend::{Backend, BackendTable};
use crate::balance::{AverageLoad, cost};
use crate::health::Availability;
use crate::latency::LatencyDistribution;
use crate::plan::ShardPlan;
use sablehaven_types::{DISTANCES, Distance};

/// Ratio of costs above which two candidates tie and the random draw decides: the difference is
/// within the noise of the estimates.
const TIE_COST_RATIO: f64 = 0.95;

/// Inputs for the selection of one replica of a shard.
pub struct ReplicaSelector<'a> {
    /// Current time.
    pub now: Duration,
    /// Back ends of the service.
    pub table: &'a BackendTable,
    /// Replicas in use and spill shares of the shard.
    pub plan: &'a ShardPlan,
    /// Back ends that were already tried.
    pub exclude: &'a [BackendId],
    /// Average of the load reports.
    pub average_load: &'a AverageLoad,
    /// Observed latencies, for their averages.
    pub latencies: &'a LatencyDistribution,
    /// Number of requests that one back end runs concurrently.
    pub slots: u32,
    /// Time in which a cold back end reaches its full share.
    pub slow_start_duration: Duration,
}

impl ReplicaSelector<'_> {
    /// Returns a back end that gets no ordinary work and whose probe is due.
    pub fn probe_target(&self) -> Option<usize> {
        self.members()
            .find(|&member| self.table.at(member).health.is_probe_due(self.now))
    }

    /// Returns the back end for one attempt. If no replica is ready, a first attempt falls back to
    /// replicas that shed recently and then to ejected ones rather than leave the shard missing;
    /// later attempts do not.
    pub fn pick(&self, random: &mut Pcg64Mcg) -> Option<usize> {
        let preferred = self.plan.spill.distance(random.random());
        if let Some(ready) = self.pick_ready(preferred, random) {
            return Some(ready);
        }
        if !self.exclude.is_empty() {
            return None;
        }
        self.least_costly(Availability::Shedding)
            .or_else(|| self.least_costly(Availability::Ejected))
    }

    /// Returns why [`Self::pick`] finds no back end.
    pub fn missing_reason(&self) -> MissingReason {
        let mut best = None;
        for &member in &self.plan.members {
            let availability = self.table.at(member).health.availability(self.now);
            best = best.min(Some(availability)).or(Some(availability));
        }
        match best {
            None | Some(Availability::Stopping) => MissingReason::NoReplica,
            Some(Availability::Shedding) => MissingReason::Shed,
            Some(Availability::Ready | Availability::Ejected) => MissingReason::Failed,
        }
    }

    /// Returns the estimated load of the least loaded ready replica.
    pub fn least_ready_load(&self) -> Option<f64> {
        self.members()
            .map(|member| self.table.at(member))
            .filter(|backend| self.is_ready(backend))
            .map(|backend| backend.load(self.now, self.average_load))
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

    /// Picks at the preferred distance, else at a farther one, else at a nearer one.
    fn pick_ready(&self, preferred: Distance, random: &mut Pcg64Mcg) -> Option<usize> {
        let outward = DISTANCES[preferred.index()..].iter();
        let inward = DISTANCES[..preferred.index()].iter().rev();
        outward
            .chain(inward)
            .find_map(|&distance| self.pick_at_distance(distance, random))
    }

    fn pick_at_distance(&self, distance: Distance, random: &mut Pcg64Mcg) -> Option<usize> {
        let pair = self.draw_pair(distance, true, random);
        let (first, second) = match pair {
            (None, _) => self.draw_pair(distance, false, random),
            pair => pair,
        };
        let first = first?;
        match second {
            Some(second) => Some(self.less_costly(first, second)),
            None => Some(self.offload_to_region(first, distance, random)),
        }
    }

    /// Draws two ready members at a distance with uniform probability (reservoir sampling). With
    /// `weighted`, a member that is cold or sheds is considered only with the probability given by
    /// its weight.
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
            let weight = backend
                .slow_start
                .weight(self.now, self.slow_start_duration)
                * backend.pressure.shed_weight(self.now);
            if weighted && weight < 1.0 && random.random::<f64>() >= weight {
                continue;
            }
            seen += 1;
            if seen <= pair.len() {
                pair[seen - 1] = Some(member);
                continue;
            }
            let index = random.random_range(0..seen);
            if index < pair.len() {
                pair[index] = Some(member);
            }
        }
        // The first candidate wins a tie, so the order must not depend on the member list.
        if pair[1].is_some() && random.random() {
            pair.swap(0, 1);
        }
        (pair[0], pair[1])
    }

    fn less_costly(&self, first: usize, second: usize) -> usize {
        if self.cost(second) < TIE_COST_RATIO * self.cost(first) {
            second
        } else {
            first
        }
    }

    /// Chooses a less loaded replica in the region instead of the only ready one in the agent's
    /// zone while that one has no free slot. Other regions receive work only through the spill
    /// share, which changes gradually.
    fn offload_to_region(
        &self,
        only_replica: usize,
        distance: Distance,
        random: &mut Pcg64Mcg,
    ) -> usize {
        if distance != Distance::Zone {
            return only_replica;
        }
        let load = self.load(only_replica);
        if load < f64::from(self.slots) {
            return only_replica;
        }
        let (first, second) = self.draw_pair(Distance::Region, true, random);
        let Some(first) = first else {
            return only_replica;
        };
        let other = second.map_or(first, |second| self.less_costly(first, second));
        if self.load(other) + 1.0 < load {
            other
        } else {
            only_replica
        }
    }

    fn least_costly(&self, availability: Availability) -> Option<usize> {
        self.members()
            .filter(|&member| self.table.at(member).health.availability(self.now) == availability)
            .min_by(|&first, &second| self.cost(first).total_cmp(&self.cost(second)))
    }

    fn load(&self, member: usize) -> f64 {
        self.table.at(member).load(self.now, self.average_load)
    }

    fn cost(&self, member: usize) -> f64 {
        let backend = self.table.at(member);
        let average_seconds = self.latencies.average_seconds(backend.distance);
        let cost = cost(
            self.load(member),
            backend.response_time.factor(self.now, average_seconds),
            backend
                .slow_start
                .weight(self.now, self.slow_start_duration),
        );
        cost / backend.pressure.shed_weight(self.now)
    }
}
