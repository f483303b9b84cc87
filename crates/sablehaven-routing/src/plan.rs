//! The replicas of each shard that the agent uses, updated as back ends come and go.

use std::collections::BTreeSet;
use std::time::Duration;

use sablehaven_types::{AgentId, BackendId, IndexSnapshot};

use crate::backend::BackendTable;
use crate::health::Availability;
use crate::spill::{Pressures, Spill};
use crate::subset::{Candidate, ConnectionBounds, select};
use sablehaven_types::DISTANCES;

/// One shard: the replicas that the agent uses, and the distribution of its attempts over
/// distances.
#[derive(Clone, Debug)]
pub struct ShardPlan {
    /// Positions in the back-end table of all replicas in the shared state.
    replicas: Vec<usize>,
    /// Positions in the back-end table of the replicas in use, nearest first. Ejected ones are
    /// included, to be probed.
    pub members: Vec<usize>,
    /// Number of members that are not replacements of ejected ones.
    subset_size: usize,
    /// Shares of the attempts by distance.
    pub spill: Spill,
}

impl ShardPlan {
    /// Returns whether the shard keeps enough members without the one at `position`: at least half
    /// of its subset, so that a fault of the agent's own network cannot eject all members.
    pub fn keeps_minimum_without(&self, table: &BackendTable, position: usize) -> bool {
        let others = self
            .members
            .iter()
            .filter(|&&member| member != position)
            .map(|&member| &table.at(member).health)
            .filter(|health| !health.is_stopping() && !health.is_ejected())
            .count();
        others >= self.subset_size.div_ceil(2).max(1)
    }

    /// Returns the average pressure at each distance over the members that receive work.
    pub fn pressures(&self, now: Duration, table: &BackendTable) -> Pressures {
        let mut sums = [0.0; DISTANCES.len()];
        let mut counts = [0u32; DISTANCES.len()];
        for &member in &self.members {
            let backend = table.at(member);
            if backend.health.availability(now) > Availability::Shedding {
                continue;
            }
            sums[backend.distance.index()] += backend.pressure.at(now);
            counts[backend.distance.index()] += 1;
        }
        std::array::from_fn(|index| {
            (counts[index] > 0).then(|| sums[index] / f64::from(counts[index]))
        })
    }

    /// Returns the lowest pressure among the members that receive work.
    pub fn least_pressure(&self, now: Duration, table: &BackendTable) -> Option<f64> {
        self.members
            .iter()
            .map(|&member| table.at(member))
            .filter(|backend| backend.health.availability(now) <= Availability::Shedding)
            .map(|backend| backend.pressure.at(now))
            .min_by(f64::total_cmp)
    }

    /// Reselects the members from the replicas that are not draining or leaving. For each ejected
    /// member, a replacement is added.
    fn select_members(&mut self, agent: &AgentId, table: &BackendTable, bounds: &ConnectionBounds) {
        let eligible: Vec<usize> = self
            .replicas
            .iter()
            .copied()
            .filter(|&position| !table.at(position).health.is_stopping())
            .collect();
        let candidates: Vec<Candidate<'_>> = eligible
            .iter()
            .map(|&position| Candidate {
                id: &table.at(position).record.id,
                distance: table.at(position).distance,
            })
            .collect();
        let subset = select(agent, &candidates, bounds);
        let is_ejected = |index: &usize| table.at(eligible[*index]).health.is_ejected();
        let ejected = subset.members.iter().copied().filter(is_ejected).count();
        let replacements = subset
            .reserve
            .iter()
            .copied()
            .filter(|index| !is_ejected(index))
            .take(ejected);
        self.subset_size = subset.members.len();
        self.members = subset
            .members
            .iter()
            .copied()
            .chain(replacements)
            .map(|index| eligible[index])
            .collect();
        self.members
            .sort_by_key(|&position| table.at(position).distance);
    }
}

/// Plans for the shards of the snapshot that new queries pin.
#[derive(Clone, Debug, Default)]
pub struct ShardPlans {
    shards: Vec<ShardPlan>,
    partition_map: u64,
    bounds: Option<ConnectionBounds>,
}

impl ShardPlans {
    /// Applies a snapshot. Spill shares are kept while the partition map stays the same.
    ///
    /// `phase` returns numbers from 0 to 1 that offset the times of the spill steps.
    pub fn update(
        &mut self,
        now: Duration,
        table: &mut BackendTable,
        snapshot: &IndexSnapshot,
        mut bounds: ConnectionBounds,
        mut phase: impl FnMut() -> f64,
    ) {
        bounds.replica_sets_per_server = replica_sets_per_server(snapshot);
        let is_same_map = self.partition_map == snapshot.id.partition_map;
        let mut previous = std::mem::take(&mut self.shards).into_iter();
        self.partition_map = snapshot.id.partition_map;
        self.bounds = Some(bounds);
        for (shard, assignment) in snapshot.shards.iter().enumerate() {
            let replicas = positions(table, &assignment.replicas);
            for &replica in &replicas {
                table.at_mut(replica).shards.push(shard);
            }
            let previous_plan = previous.next().filter(|_| is_same_map);
            let spill = previous_plan.map_or_else(|| Spill::new(now, phase()), |plan| plan.spill);
            self.shards.push(ShardPlan {
                replicas,
                members: Vec::new(),
                subset_size: 0,
                spill,
            });
        }
    }

    /// Reselects the members of every shard.
    pub fn select_all(&mut self, agent: &AgentId, table: &BackendTable) {
        for shard in 0..self.shards.len() {
            self.select_shard(agent, table, shard);
        }
    }

    /// Reselects the members of every shard of the back end at `position`.
    pub fn select_shards_of(&mut self, agent: &AgentId, table: &BackendTable, position: usize) {
        for &shard in &table.at(position).shards {
            self.select_shard(agent, table, shard);
        }
    }

    fn select_shard(&mut self, agent: &AgentId, table: &BackendTable, shard: usize) {
        let Some(bounds) = self.bounds else {
            return;
        };
        if let Some(plan) = self.shards.get_mut(shard) {
            plan.select_members(agent, table, &bounds);
        }
    }

    /// Returns the plan of a shard.
    pub fn get(&self, shard: usize) -> Option<&ShardPlan> {
        self.shards.get(shard)
    }

    /// Returns a mutable reference to the plan of a shard.
    pub fn get_mut(&mut self, shard: usize) -> Option<&mut ShardPlan> {
        self.shards.get_mut(shard)
    }

    /// Returns the share of attempts that leave the region, averaged over the shards.
    pub fn remote_share(&self) -> f64 {
        let sum: f64 = self
            .shards
            .iter()
            .map(|plan| plan.spill.remote_share())
            .sum();
        sum / self.shards.len().max(1) as f64
    }

    /// Iterates over the plans of all shards.
    pub fn iter(&self) -> impl Iterator<Item = &ShardPlan> {
        self.shards.iter()
    }
}

fn positions(table: &BackendTable, ids: &[BackendId]) -> Vec<usize> {
    ids.iter().filter_map(|id| table.position(id)).collect()
}

/// Returns the largest number of different replica sets that any server belongs to, at least 1.
fn replica_sets_per_server(snapshot: &IndexSnapshot) -> u32 {
    let mut sets: BTreeSet<Vec<&BackendId>> = BTreeSet::new();
    for assignment in &snapshot.shards {
        let mut replicas: Vec<&BackendId> = assignment.replicas.iter().collect();
        replicas.sort();
        sets.insert(replicas);
    }
    let mut counts = std::collections::BTreeMap::<&BackendId, u32>::new();
    for id in sets.into_iter().flatten() {
        *counts.entry(id).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(1)
}
