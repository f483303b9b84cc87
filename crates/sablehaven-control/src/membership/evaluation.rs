//! Decides which suspected back ends are taken out of service.
//!
//! A back end is a candidate for removal if enough distinct agents suspect it. If the service's agents run in two or
//! more zones, the suspicions must come from at least two. Of the candidates, no more are removed than the service's
//! limit allows, and never the last replica of a shard: if all back ends are suspected at the same time, the fault is
//! more likely on the agents' side, and an answer from a suspected replica is better than none.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{
    BackendId, Configuration, RoutingSettings, ServiceConfiguration, ServiceName,
};

use super::{ServiceWatchers, backend::Backend};

/// Minimum number of agents that must suspect a back end: one agent alone must not remove any.
const MINIMUM_SUSPECTING_AGENTS: u32 = 2;

/// Maximum number of agents that are required. A server is used by at most as many agents as it accepts connections (65
/// to 110 in the specification); a quarter of that is enough.
const MAXIMUM_SUSPECTING_AGENTS: u32 = 16;

/// One in this many of a service's agents must suspect a back end.
const SUSPECTING_AGENTS_DIVISOR: u32 = 4;

/// The result of an evaluation.
#[derive(Debug, Default)]
pub(super) struct Evaluation {
    /// Back ends that are taken out of service.
    pub(super) suspected: BTreeSet<BackendId>,
    /// Candidates that the limits keep in service.
    pub(super) held_back: BTreeSet<BackendId>,
}

type Backends = BTreeMap<BackendId, Backend>;

/// Evaluates the suspicions of all back ends.
pub(super) fn evaluate(
    backends: &Backends,
    watchers: &BTreeMap<ServiceName, ServiceWatchers>,
    configuration: &Configuration,
) -> Evaluation {
    let mut members: BTreeMap<&ServiceName, Vec<(&BackendId, &Backend)>> = BTreeMap::new();
    for (id, backend) in backends {
        let service = members.entry(&backend.listed().service).or_default();
        service.push((id, backend));
    }
    let mut evaluation = Evaluation::default();
    for (name, members) in members {
        let watchers = watchers.get(name).copied().unwrap_or_default();
        let candidates = candidates(&members, watchers);
        if candidates.is_empty() {
            continue;
        }
        let settings = configuration.services.get(name);
        let allowed = allowed_removals(&members, settings);
        let mut coverage = ShardCoverage::new(&members, settings);
        let mut removed = 0;
        for id in candidates {
            if removed < allowed && coverage.remove(id) {
                removed += 1;
                evaluation.suspected.insert(id.clone());
            } else {
                evaluation.held_back.insert(id.clone());
            }
        }
    }
    evaluation
}

/// Returns the number of agents that must suspect a back end of a service.
fn required_agents(watchers: ServiceWatchers) -> usize {
    let share = watchers.agents.div_ceil(SUSPECTING_AGENTS_DIVISOR);
    share.clamp(MINIMUM_SUSPECTING_AGENTS, MAXIMUM_SUSPECTING_AGENTS) as usize
}

/// Returns the back ends that enough agents suspect, those with the most suspicions first.
fn candidates<'a>(
    members: &[(&'a BackendId, &'a Backend)],
    watchers: ServiceWatchers,
) -> Vec<&'a BackendId> {
    let agents = required_agents(watchers);
    let zones = if watchers.zones >= 2 { 2 } else { 1 };
    let mut found: Vec<(usize, &BackendId)> = members
        .iter()
        .filter(|(_, backend)| !backend.is_leaving())
        .filter(|(_, backend)| backend.suspecting_agents() >= agents)
        .filter(|(_, backend)| backend.suspecting_zones() >= zones)
        .map(|(id, backend)| (backend.suspecting_agents(), *id))
        .collect();
    found.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.cmp(right.1)));
    found.into_iter().map(|(_, id)| id).collect()
}

/// Returns how many back ends of a service may be removed: a share of those that are not leaving.
fn allowed_removals(
    members: &[(&BackendId, &Backend)],
    settings: Option<&ServiceConfiguration>,
) -> usize {
    let staying = members
        .iter()
        .filter(|(_, backend)| !backend.is_leaving())
        .count();
    let per_mille = settings.map_or_else(
        || RoutingSettings::default().suspicion_limit_per_mille,
        |settings| settings.routing.suspicion_limit_per_mille,
    );
    staying * per_mille as usize / 1_000
}

/// Counts the replicas of each shard that are still in service.
struct ShardCoverage<'a> {
    shards_of: BTreeMap<&'a BackendId, Vec<usize>>,
    replicas: Vec<usize>,
}

impl<'a> ShardCoverage<'a> {
    fn new(
        members: &[(&'a BackendId, &'a Backend)],
        settings: Option<&ServiceConfiguration>,
    ) -> Self {
        let mut coverage = Self {
            shards_of: BTreeMap::new(),
            replicas: Vec::new(),
        };
        let staying: BTreeMap<&BackendId, &'a BackendId> = members
            .iter()
            .filter(|(_, backend)| !backend.is_leaving())
            .map(|(id, _)| (*id, *id))
            .collect();
        let assignments = settings.map_or(&[][..], |settings| &settings.snapshot.shards);
        for (shard, assignment) in assignments.iter().enumerate() {
            let replicas: BTreeSet<&'a BackendId> = assignment
                .replicas
                .iter()
                .filter_map(|replica| staying.get(replica).copied())
                .collect();
            coverage.replicas.push(replicas.len());
            for replica in replicas {
                coverage.shards_of.entry(replica).or_default().push(shard);
            }
        }
        coverage
    }

    /// Removes a back end; returns `false` if it is the last replica of a shard and therefore stays.
    fn remove(&mut self, id: &BackendId) -> bool {
        let Some(shards) = self.shards_of.get(id) else {
            return true;
        };
        if shards.iter().any(|shard| self.replicas[*shard] <= 1) {
            return false;
        }
        for shard in shards {
            self.replicas[*shard] -= 1;
        }
        true
    }
}
