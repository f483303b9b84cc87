//! Measures the connections per server and the churn of the subsets by the number of agents.

use std::collections::BTreeSet;

use sablehaven_routing::subset::{Candidate, ConnectionBounds, select};
use sablehaven_types::Distance;
use sablehaven_types::{AgentId, BackendId};

use crate::runs::Plan;
use crate::table::Table;

/// Target number of connections per server.
const CONNECTIONS_PER_SERVER: u32 = 75;
/// Number of zones: two in each of three regions.
const ZONES: usize = 6;
/// Replicas of the shard in each zone.
const REPLICAS_PER_ZONE: usize = 4;

/// Returns the servers of the shard.
fn backend_ids() -> Vec<BackendId> {
    (0..ZONES * REPLICAS_PER_ZONE)
        .map(|server| BackendId(format!("server-{server}")))
        .collect()
}

fn distance(home: usize, zone: usize) -> Distance {
    if home == zone {
        Distance::Zone
    } else if home / 2 == zone / 2 {
        Distance::Region
    } else {
        Distance::Remote
    }
}

/// Returns the servers in the subset of each agent, without the server `removed`. With
/// `concentrated`, all agents are in one zone.
fn subsets(agents: u32, concentrated: bool, removed: Option<usize>) -> Vec<BTreeSet<usize>> {
    let ids = backend_ids();
    let bounds = ConnectionBounds {
        connections_per_server: CONNECTIONS_PER_SERVER,
        agents,
        replica_sets_per_server: 1,
    };
    (0..agents as usize)
        .map(|agent| {
            let home = if concentrated { 0 } else { agent % ZONES };
            let present: Vec<usize> = (0..ids.len())
                .filter(|&server| Some(server) != removed)
                .collect();
            let candidates: Vec<_> = present
                .iter()
                .map(|&server| Candidate {
                    id: &ids[server],
                    distance: distance(home, server / REPLICAS_PER_ZONE),
                })
                .collect();
            let subset = select(&AgentId(format!("agent-{agent}")), &candidates, &bounds);
            subset.members.iter().map(|&index| present[index]).collect()
        })
        .collect()
}

/// Runs the experiment and prints its table.
pub fn run(_plan: Plan) {
    let mut table = Table::new(&[
        "agents",
        "in one zone",
        "members, mean",
        "connections, mean",
        "connections, most",
        "changed by 1 agent %",
        "changed by 10% agents %",
        "changed by 1 server %",
    ]);
    for agents in [50, 75, 76, 150, 300, 600, 900] {
        for concentrated in [false, true] {
            table.row(row(agents, concentrated));
        }
    }
    table.print(
        "Subsets: one shard of 24 replicas in 6 zones, 75 connections per server; changes as a share \
         of all members",
    );
}

fn row(agents: u32, concentrated: bool) -> Vec<String> {
    let now = subsets(agents, concentrated, None);
    let members: usize = now.iter().map(BTreeSet::len).sum();
    let mut connections = [0u32; ZONES * REPLICAS_PER_ZONE];
    for &server in now.iter().flatten() {
        connections[server] += 1;
    }
    let changed = |other: &[BTreeSet<usize>]| {
        let changes: usize = now
            .iter()
            .zip(other)
            .map(|(now, other)| now.symmetric_difference(other).count())
            .sum();
        format!("{:.1}", 100.0 * changes as f64 / members as f64)
    };
    vec![
        agents.to_string(),
        if concentrated { "yes" } else { "no" }.to_owned(),
        format!("{:.1}", members as f64 / f64::from(agents)),
        format!("{:.1}", members as f64 / connections.len() as f64),
        connections.iter().max().copied().unwrap_or(0).to_string(),
        changed(&subsets(agents + 1, concentrated, None)),
        changed(&subsets(agents + agents / 10, concentrated, None)),
        changed(&subsets(agents, concentrated, Some(0))),
    ]
}
