//! Settings of a back end, and the behaviour that can be changed while it runs.

use std::{collections::BTreeSet, net::SocketAddr};

use sablehaven_types::{BackendId, Placement, ServiceName, ShardId, SnapshotId};
use serde::{Deserialize, Serialize};

/// Settings of one back-end server; fixed while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// The server.
    pub id: BackendId,
    /// The service.
    pub service: ServiceName,
    /// Where it stands.
    pub placement: Placement,
    /// IP number and port; port 0 takes one from the system.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// The first start's number.
    #[serde(default = "one")]
    pub incarnation: u64,
    /// Requests that run at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that may wait for a slot; one more is shed.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Connections that may be open; one more is refused.
    #[serde(default = "default_connection_limit")]
    pub connection_limit: u32,
    /// Time that opening a connection costs, in microseconds.
    #[serde(default = "default_connection_cost_us")]
    pub connection_cost_us: u64,
    /// How long requests run.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// Time from a start until the server is warm, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// How many times longer requests run at the very start; falls to 1 over `cold_start_ms`.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Time for which a draining server still takes requests, saying that it drains, in milliseconds.
    #[serde(default)]
    pub drain_grace_ms: u64,
    /// The snapshots held at the start.
    #[serde(default)]
    pub held: Vec<HeldSnapshot>,
    /// Elements of each repeated field in a reply.
    #[serde(default = "default_items")]
    pub items: u32,
    /// How it behaves at the start.
    #[serde(default)]
    pub behaviour: Behaviour,
}

impl BackendSettings {
    /// Settings of a server with the defaults.
    pub fn new(id: BackendId, service: ServiceName, placement: Placement) -> Self {
        Self {
            id,
            service,
            placement,
            listen: any_port(),
            incarnation: one(),
            slots: default_slots(),
            queue_limit: default_queue_limit(),
            connection_limit: default_connection_limit(),
            connection_cost_us: default_connection_cost_us(),
            service_time: ServiceTime::default(),
            cold_start_ms: 0,
            cold_factor: default_cold_factor(),
            drain_grace_ms: 0,
            held: Vec::new(),
            items: default_items(),
            behaviour: Behaviour::default(),
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn one() -> u64 {
    1
}

fn default_slots() -> u32 {
    3
}

fn default_queue_limit() -> u32 {
    16
}

fn default_connection_limit() -> u32 {
    65
}

/// The brief: opening a new connection takes about 1 ms everywhere.
fn default_connection_cost_us() -> u64 {
    1_000
}

fn default_cold_factor() -> f64 {
    5.0
}

fn default_items() -> u32 {
    2
}

/// A snapshot that a back end holds, with the shards it holds of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The shards.
    pub shards: BTreeSet<ShardId>,
}

/// How long requests run: log-normal.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The median, in microseconds.
    pub median_us: u64,
    /// The standard deviation of the logarithm; 0 makes every request run for the median.
    pub sigma: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_us: 2_000,
            sigma: 0.2,
        }
    }
}

/// Behaviour that can be changed while a back end runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Takes requests into its slots and never answers.
    pub stuck: bool,
    /// Requests run this many times longer.
    pub slow_factor: f64,
    /// The share of requests that are stragglers, in thousandths.
    pub straggler_per_mille: u32,
    /// How many times longer a straggler runs.
    pub straggler_factor: f64,
    /// The share of requests that are shed although there is room, in thousandths.
    pub shed_per_mille: u32,
    /// Age that a load count may reach before it is taken anew, in milliseconds.
    pub load_lag_ms: u64,
    /// The reported load is the counted one times this (below 1 it flatters).
    pub load_factor: f64,
    /// Whether the reported age is always 0, whatever the count's age.
    pub load_claims_fresh: bool,
    /// The share of replies that are wrong, in thousandths.
    pub bad_reply_per_mille: u32,
    /// What is wrong with them.
    pub bad_reply: BadReply,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            stuck: false,
            slow_factor: 1.0,
            straggler_per_mille: 0,
            straggler_factor: 10.0,
            shed_per_mille: 0,
            load_lag_ms: 0,
            load_factor: 1.0,
            load_claims_fresh: false,
            bad_reply_per_mille: 0,
            bad_reply: BadReply::default(),
        }
    }
}

/// What is wrong with a bad reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadReply {
    /// It echoes another attempt.
    #[default]
    WrongAttempt,
    /// It echoes another shard.
    WrongShard,
    /// It echoes another snapshot, and its items come from that one.
    WrongSnapshot,
    /// Its body is cut in half.
    TruncatedBody,
    /// Its body is no message at all.
    Garbage,
}
