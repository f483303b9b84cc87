//! Connections under subsetting at the target's size, computed with the agents' own choice
//! ([`sablehaven_routing::subset`]) for every agent and every server of some shards.

use std::collections::HashSet;

use sablehaven_routing::subset::{Candidate, ConnectionBounds, select};
use sablehaven_types::{AgentId, BackendId, Distance, Placement};
use serde::{Deserialize, Serialize};

use crate::measure::{statistics::quantile, table::Table};

/// The zones of each region of the target.
const ZONES_OF_REGIONS: [usize; 3] = [4, 3, 3];

/// One way in which the target's servers may be laid out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// What it is.
    pub name: &'static str,
    /// Services; each is laid out alike.
    pub services: u32,
    /// Services that one agent calls.
    pub services_of_agent: u32,
    /// Agents that call one service.
    pub agents: u32,
    /// Shards of a service.
    pub shards: u32,
    /// Shards that are computed; all are alike.
    pub computed_shards: u32,
    /// Servers that hold one shard, spread evenly over the zones; each holds no other.
    pub replicas: u32,
    /// Connections that a server accepts.
    pub connections_per_server: u32,
}

/// The layouts of the page. 120,000 servers divide into services in many ways; these are the ends.
pub const LAYOUTS: [Layout; 4] = [
    Layout {
        name: "every agent calls every service, 75 connections",
        services: 11,
        services_of_agent: 11,
        agents: 7_100,
        shards: 55,
        computed_shards: 5,
        replicas: 198,
        connections_per_server: 75,
    },
    Layout {
        name: "every agent calls every service, 110 connections",
        services: 11,
        services_of_agent: 11,
        agents: 7_100,
        shards: 55,
        computed_shards: 5,
        replicas: 198,
        connections_per_server: 110,
    },
    Layout {
        name: "an agent calls 10 of 40 services, 75 connections",
        services: 40,
        services_of_agent: 10,
        agents: 1_775,
        shards: 55,
        computed_shards: 20,
        replicas: 54,
        connections_per_server: 75,
    },
    Layout {
        name: "an agent calls 4 of 40 services, 75 connections",
        services: 40,
        services_of_agent: 4,
        agents: 710,
        shards: 55,
        computed_shards: 20,
        replicas: 54,
        connections_per_server: 75,
    },
];

/// Connections under one layout, whole and after the loss of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetRow {
    /// The layout.
    pub layout: String,
    /// Servers of all services.
    pub servers: u32,
    /// The limit of each server.
    pub limit: u32,
    /// With every zone.
    pub whole: Connections,
    /// Without the servers and agents of one zone.
    pub without_zone: Connections,
    /// Connections that a remaining agent opens when the zone goes.
    pub opened_by_agent: f64,
    /// Connections between remaining agents and servers that end though both remain.
    pub needless_changes: u64,
}

/// Connections of servers and agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Connections {
    /// Mean of the servers.
    pub server_mean: f64,
    /// 99th percentile of the servers.
    pub server_p99: f64,
    /// The most of one server.
    pub server_most: f64,
    /// Servers over their limit, in thousandths.
    pub over_limit_per_mille: f64,
    /// Members of a shard's subset, mean of the agents.
    pub members_mean: f64,
    /// Connections of an agent to all services that it calls, mean.
    pub agent_mean: f64,
}

/// Computes every layout.
pub fn measure() -> Vec<SubsetRow> {
    LAYOUTS.iter().map(compute).collect()
}

/// Computes one layout.
pub fn compute(layout: &Layout) -> SubsetRow {
    const LOST_ZONE: usize = 0;
    let mut whole = Counts::default();
    let mut without_zone = Counts::default();
    let (mut opened, mut needless) = (0_u64, 0_u64);
    for shard in 0..layout.computed_shards {
        let servers = Servers::of_shard(layout, shard);
        let remaining = servers.without_zone(LOST_ZONE);
        let mut all = Choice::new(layout, &servers);
        let mut rest = Choice::new(layout, &remaining);
        for agent in 0..layout.agents {
            let place = place(agent as usize);
            let before = all.choose(agent, &place);
            if zone_of(agent as usize) == LOST_ZONE {
                continue;
            }
            let after = rest.choose(agent, &place);
            opened += after.difference(&before).count() as u64;
            let stays = |id: &&BackendId| remaining.ids.contains(id);
            needless += before.difference(&after).filter(stays).count() as u64;
        }
        whole.add(all);
        without_zone.add(rest);
    }
    let remaining_agents = (0..layout.agents as usize).filter(|agent| zone_of(*agent) != LOST_ZONE);
    let remaining_agents = remaining_agents.count() as f64;
    SubsetRow {
        layout: layout.name.to_owned(),
        servers: layout.services * layout.shards * layout.replicas,
        limit: layout.connections_per_server,
        whole: whole.connections(layout, f64::from(layout.agents)),
        without_zone: without_zone.connections(layout, remaining_agents),
        opened_by_agent: opened as f64 / remaining_agents * scale(layout),
        needless_changes: needless,
    }
}

/// From the computed shards of one service to all shards of all services that an agent calls.
fn scale(layout: &Layout) -> f64 {
    f64::from(layout.services_of_agent * layout.shards) / f64::from(layout.computed_shards)
}

struct Servers {
    ids: Vec<BackendId>,
    places: Vec<Placement>,
    zones: Vec<usize>,
}

impl Servers {
    fn of_shard(layout: &Layout, shard: u32) -> Self {
        let numbers = 0..layout.replicas as usize;
        Self {
            ids: numbers
                .clone()
                .map(|number| BackendId(format!("server-{shard}-{number}")))
                .collect(),
            places: numbers.clone().map(place).collect(),
            zones: numbers.map(zone_of).collect(),
        }
    }

    fn without_zone(&self, lost: usize) -> Self {
        let kept: Vec<usize> = (0..self.ids.len())
            .filter(|number| self.zones[*number] != lost)
            .collect();
        Self {
            ids: kept
                .iter()
                .map(|number| self.ids[*number].clone())
                .collect(),
            places: kept
                .iter()
                .map(|number| self.places[*number].clone())
                .collect(),
            zones: kept.iter().map(|number| self.zones[*number]).collect(),
        }
    }
}

/// Zones in turn, so that they are of equal size.
fn zone_of(number: usize) -> usize {
    number % ZONES_OF_REGIONS.iter().sum::<usize>()
}

fn place(number: usize) -> Placement {
    let zone = zone_of(number);
    let mut first = 0;
    let mut region = 0;
    for (candidate, zones) in ZONES_OF_REGIONS.iter().enumerate() {
        if zone >= first {
            region = candidate;
        }
        first += zones;
    }
    Placement {
        region: format!("region-{region}").into(),
        zone: format!("zone-{zone}").into(),
    }
}

/// What the agents choose among the servers of one shard.
struct Choice<'a> {
    servers: &'a Servers,
    bounds: ConnectionBounds,
    connections: Vec<u32>,
    members: u64,
}

impl<'a> Choice<'a> {
    fn new(layout: &Layout, servers: &'a Servers) -> Self {
        Self {
            servers,
            bounds: ConnectionBounds {
                connections_per_server: layout.connections_per_server,
                // Control tells agents their number rounded up to a power of two.
                agents: layout.agents.next_power_of_two(),
                replica_sets_per_server: 1,
            },
            connections: vec![0; servers.ids.len()],
            members: 0,
        }
    }

    fn choose(&mut self, agent: u32, place: &Placement) -> HashSet<BackendId> {
        let servers = self.servers;
        let candidates = servers.ids.iter().zip(&servers.places);
        let candidates: Vec<Candidate<'_>> = candidates
            .map(|(id, server)| Candidate {
                id,
                distance: Distance::between(place, server),
            })
            .collect();
        let agent = AgentId(format!("agent-{agent}"));
        let subset = select(&agent, &candidates, &self.bounds);
        self.members += subset.members.len() as u64;
        let chosen = subset.members.iter().map(|member| {
            self.connections[*member] += 1;
            servers.ids[*member].clone()
        });
        chosen.collect()
    }
}

/// What was chosen in several shards.
#[derive(Default)]
struct Counts {
    connections: Vec<f64>,
    members: u64,
}

impl Counts {
    fn add(&mut self, choice: Choice<'_>) {
        self.connections
            .extend(choice.connections.into_iter().map(f64::from));
        self.members += choice.members;
    }

    fn connections(mut self, layout: &Layout, agents: f64) -> Connections {
        self.connections.sort_by(f64::total_cmp);
        let servers = self.connections.len() as f64;
        let limit = f64::from(layout.connections_per_server);
        let over = self.connections.iter().filter(|count| **count > limit);
        let over = over.count() as f64;
        let members = self.members as f64 / agents / f64::from(layout.computed_shards);
        Connections {
            server_mean: self.connections.iter().sum::<f64>() / servers,
            server_p99: quantile(&self.connections, 0.99).unwrap_or(0.0),
            server_most: self.connections.last().copied().unwrap_or(0.0),
            over_limit_per_mille: over / servers * 1e3,
            members_mean: members,
            agent_mean: self.members as f64 / agents * scale(layout),
        }
    }
}

/// The rows as a table; each layout has one line whole and one without a zone.
pub fn table(rows: &[SubsetRow]) -> Table {
    let mut table = Table::new([
        "computed: connections under subsetting",
        "servers",
        "limit",
        "zones",
        "server mean",
        "p99",
        "most",
        "over limit ‰",
        "members a shard",
        "agent mean",
        "opened by an agent",
        "needless changes",
    ]);
    for row in rows {
        let lost = [
            format!("{:.1}", row.opened_by_agent),
            row.needless_changes.to_string(),
        ];
        let states = [
            ("10", row.whole, [String::new(), String::new()]),
            ("9", row.without_zone, lost),
        ];
        for (zones, connections, lost) in states {
            let mut cells = vec![
                row.layout.clone(),
                row.servers.to_string(),
                row.limit.to_string(),
                zones.to_owned(),
                format!("{:.1}", connections.server_mean),
                format!("{:.0}", connections.server_p99),
                format!("{:.0}", connections.server_most),
                format!("{:.2}", connections.over_limit_per_mille),
                format!("{:.2}", connections.members_mean),
                format!("{:.0}", connections.agent_mean),
            ];
            cells.extend(lost);
            table.row(cells);
        }
    }
    table
}
