//! Which replicas of a shard an agent uses: rendezvous hashing within the servers' connection limit.
//!
//! Each agent ranks back ends by a hash of both names (Thaler and Ravishankar, "A name-based mapping
//! scheme for rendezvous", 1996), the same rank in every shard, and takes the first few of each
//! distance. Shares are equal over the distances, so a server's expected number of agents stays
//! within its limit wherever the agents are. One agent or server more or less moves few members,
//! because ranks never depend on the other names.

use sablehaven_types::{AgentId, BackendId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use sablehaven_types::{DISTANCES, Distance};

/// Standard deviations kept between a server's expected connections and its limit. Agents choose
/// independently, so connections are binomial; 4 leave about 1 server in 30,000 above the limit.
const LIMIT_DEVIATIONS: f64 = 4.0;

/// Steps of the search for the largest share; 30 halvings are exact to 1e-9.
const SHARE_SEARCH_STEPS: u32 = 30;

/// One replica of a shard that may become a member of the subset.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The back end.
    pub id: &'a BackendId,
    /// How far it is.
    pub distance: Distance,
}

/// What bounds the subsets of one service.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBounds {
    /// Connections that one server accepts.
    pub connections_per_server: u32,
    /// Agents that send to the service.
    pub agents: u32,
    /// The most different replica sets that one server belongs to: each draws on the same limit.
    pub replica_sets_per_server: u32,
}

impl ConnectionBounds {
    /// The share of a shard's replicas that each agent may use, from above 0 to 1.
    pub fn share(&self) -> f64 {
        let agents = f64::from(self.agents.max(1));
        let limit = f64::from(self.connections_per_server.max(1));
        if agents <= limit {
            return 1.0;
        }
        let share_of_server = largest_share(agents, limit);
        share_of_server / f64::from(self.replica_sets_per_server.max(1))
    }
}

/// The largest share for which the expected connections and their spread stay within the limit.
fn largest_share(agents: f64, limit: f64) -> f64 {
    let (mut low, mut high) = (0.0, limit / agents);
    for _ in 0..SHARE_SEARCH_STEPS {
        let share = (low + high) / 2.0;
        let mean = agents * share;
        let deviation = (mean * (1.0 - share)).sqrt();
        if mean + LIMIT_DEVIATIONS * deviation <= limit {
            low = share;
        } else {
            high = share;
        }
    }
    low
}

/// The rank of a back end for an agent; higher comes first.
fn rank(agent_hash: u64, backend: &BackendId) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), agent_hash)
}

/// A number from 0 to 1 that is fixed for an agent and a distance: fractions above it round up.
fn rounding_threshold(agent_hash: u64, distance: Distance) -> f64 {
    let hash = xxh3_64_with_seed(&[distance.index() as u8], agent_hash);
    hash as f64 / u64::MAX as f64
}

/// The subset of one shard, as ranked indexes into the candidates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// The members, nearest first, then by rank.
    pub members: Vec<usize>,
    /// The replicas outside the subset, in the order in which they replace members.
    pub reserve: Vec<usize>,
}

/// Selects the subset that `agent` uses of one shard's replicas.
///
/// Each distance's exact count is rounded by itself: rounding them together would keep totals closer,
/// but a change at one distance would then move members at the others. An agent left without any
/// member takes one all the same, or the shard could not be asked. With an exact total of two or
/// more that is rare, and servers stay within their limit; below, the limit may give way.
pub fn select(agent: &AgentId, candidates: &[Candidate<'_>], bounds: &ConnectionBounds) -> Subset {
    let agent_hash = xxh3_64(agent.as_str().as_bytes());
    let share = bounds.share();
    let mut subset = Subset::default();
    for distance in DISTANCES {
        let mut group = ranked_group(agent_hash, candidates, distance);
        let exact = share * group.len() as f64;
        let round_up = rounding_threshold(agent_hash, distance) < exact.fract();
        let count = exact.floor() as usize + usize::from(round_up);
        let rest = group.split_off(count.min(group.len()));
        subset.members.append(&mut group);
        subset.reserve.extend(rest);
    }
    if subset.members.is_empty() {
        take_highest_rank(&mut subset, candidates, agent_hash);
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

/// Makes the replica with the highest rank a member, near or far: a preference for near ones would
/// bring the servers of a zone with many agents beyond their limit.
fn take_highest_rank(subset: &mut Subset, candidates: &[Candidate<'_>], agent_hash: u64) {
    let best = (0..subset.reserve.len()).max_by_key(|&position| {
        let index = subset.reserve[position];
        rank(agent_hash, candidates[index].id)
    });
    if let Some(position) = best {
        subset.members.push(subset.reserve.remove(position));
    }
}
