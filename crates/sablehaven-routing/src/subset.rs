//! Subset of a shard's replicas that an agent uses, by rendezvous hashing within the servers'
//! connection limits.
//!
//! Each agent ranks back ends by a hash of both names (Thaler and Ravishankar, "A name-based
//! mapping scheme for rendezvous", 1996), with the same rank in every shard, and uses the first few
//! at each distance. The fraction used is the same at every distance, so the expected number of
//! agents of a server stays within its limit wherever the agents are. Adding or removing one agent
//! or server changes few members, because a rank never depends on other names.

use sablehaven_types::{AgentId, BackendId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use sablehaven_types::{DISTANCES, Distance};

/// Standard deviations between a server's expected number of connections and its limit. Agents
/// choose independently, so the number of connections is binomial; 4 standard deviations leave
/// about 1 server in 30,000 above the limit.
const LIMIT_STANDARD_DEVIATIONS: f64 = 4.0;

/// Number of steps of the binary search for the largest share; 30 halvings are exact to 1e-9.
const SHARE_SEARCH_STEPS: u32 = 30;

/// One replica of a shard that may become a member of the subset.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identifier of the back end.
    pub id: &'a BackendId,
    /// Distance from the agent to the back end.
    pub distance: Distance,
}

/// Limits that determine the size of the subsets of one service.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBounds {
    /// Number of connections that one server accepts.
    pub connections_per_server: u32,
    /// Number of agents that send to the service.
    pub agents: u32,
    /// Largest number of different replica sets that one server belongs to; all of them share its
    /// limit.
    pub replica_sets_per_server: u32,
}

impl ConnectionBounds {
    /// Returns the share of a shard's replicas that each agent may use, from above 0 to 1.
    pub fn share(&self) -> f64 {
        let agents = f64::from(self.agents.max(1));
        let limit = f64::from(self.connections_per_server.max(1));
        if agents <= limit {
            return 1.0;
        }
        let share_per_server = largest_share(agents, limit);
        share_per_server / f64::from(self.replica_sets_per_server.max(1))
    }
}

/// Returns the largest share for which the expected number of connections plus the margin stays
/// within the limit.
fn largest_share(agents: f64, limit: f64) -> f64 {
    let (mut low, mut high) = (0.0, limit / agents);
    for _ in 0..SHARE_SEARCH_STEPS {
        let share = (low + high) / 2.0;
        let mean = agents * share;
        let deviation = (mean * (1.0 - share)).sqrt();
        if mean + LIMIT_STANDARD_DEVIATIONS * deviation <= limit {
            low = share;
        } else {
            high = share;
        }
    }
    low
}

/// Returns the rank of a back end for an agent; a higher rank comes first.
fn rank(agent_hash: u64, backend: &BackendId) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), agent_hash)
}

/// Returns a number from 0 to 1 that is fixed for an agent and a distance. Fractions above it are
/// rounded up.
fn rounding_threshold(agent_hash: u64, distance: Distance) -> f64 {
    let hash = xxh3_64_with_seed(&[distance.index() as u8], agent_hash);
    hash as f64 / u64::MAX as f64
}

/// Subset of one shard, as indexes into the candidates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// Members, nearest first, then by rank.
    pub members: Vec<usize>,
    /// Replicas outside the subset, in the order in which they replace members.
    pub reserve: Vec<usize>,
}

/// Selects the subset that `agent` uses of one shard's replicas.
///
/// The exact count is rounded for each distance separately. Rounding them together would keep the
/// totals closer, but a change at one distance would then change members at the others. An agent
/// without any member uses one all the same, since it could not query the shard otherwise. With an
/// exact total of two or more this is rare and servers stay within their limit; below two, the
/// limit may be exceeded.
pub fn select(agent: &AgentId, candidates: &[Candidate<'_>], bounds: &ConnectionBounds) -> Subset {
    let agent_hash = xxh3_64(agent.as_str().as_bytes());
    let share = bounds.share();
    let mut subset = Subset::default();
    for distance in DISTANCES {
        let mut group = ranked_group(agent_hash, candidates, distance);
        let exact_count = share * group.len() as f64;
        let round_up = rounding_threshold(agent_hash, distance) < exact_count.fract();
        let count = exact_count.floor() as usize + usize::from(round_up);
        let rest = group.split_off(count.min(group.len()));
        subset.members.append(&mut group);
        subset.reserve.extend(rest);
    }
    if subset.members.is_empty() {
        add_highest_ranked(&mut subset, candidates, agent_hash);
    }
    subset
}

fn ranked_group(agent_hash: u64, candidates: &[Candidate<'_>], distance: Distance) -> Vec<usize> {
    let mut group: Vec<usize> = (0..candidates.len())
        .filter(|&index| candidates[index].distance == distance)
        .collect();
    group.sort_by_key(|&index| {
        let id = candidates[index].id;
        (std::cmp::Reverse(rank(agent_hash, id)), id)
    });
    group
}

/// Adds the replica with the highest rank at any distance. Preferring near ones would push the
/// servers of a zone with many agents over their limit.
fn add_highest_ranked(subset: &mut Subset, candidates: &[Candidate<'_>], agent_hash: u64) {
    let best = (0..subset.reserve.len()).max_by_key(|&position| {
        let index = subset.reserve[position];
        rank(agent_hash, candidates[index].id)
    });
    if let Some(position) = best {
        subset.members.push(subset.reserve.remove(position));
    }
}
