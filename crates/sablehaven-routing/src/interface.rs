//! Types with which an agent requests routing decisions and reports the results of attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sablehaven_types::{
    AgentId, BackendId, BackendRecord, IndexSnapshot, Placement, RoutingSettings,
};

/// The agent that makes the decisions. Its name spreads agents over back ends; its placement
/// determines distances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentLocation {
    /// Name of the agent.
    pub agent: AgentId,
    /// Region and zone in which it runs.
    pub placement: Placement,
}

/// The shared state of one service, as last received by the agent.
#[derive(Clone, Copy, Debug)]
pub struct ServiceUpdate<'a> {
    /// Limits and routing settings.
    pub settings: &'a RoutingSettings,
    /// All back ends of the service.
    pub backends: &'a [Arc<BackendRecord>],
    /// Snapshot that new queries pin.
    pub snapshot: &'a IndexSnapshot,
    /// Number of agents that send to the service, including this one.
    pub agents: u32,
}

/// Whether a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may start now.
    Admitted,
    /// The service is overloaded; nothing was sent.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The back end chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenBackend {
    /// Identifier of the back end.
    pub backend: BackendId,
    /// IP address and port of its HTTP interface.
    pub address: SocketAddr,
    /// Incarnation of the server in the record.
    pub incarnation: u64,
}

/// Kinds of attempts beyond the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraAttemptKind {
    /// A second attempt sent while a slow one is still running.
    Hedge,
    /// A new attempt after one that ended without a reply.
    Retry,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A usable reply arrived.
    Replied,
    /// The back end refused because of overload.
    Shed,
    /// The back end refused because it is draining.
    Draining,
    /// The back end does not hold the pinned snapshot.
    SnapshotGone,
    /// The back end refused because the deadline had passed.
    DeadlineRefused,
    /// No usable reply: the connection was lost, the deadline passed without a reply, or the reply
    /// was invalid.
    Failed,
    /// The agent cancelled it, because another attempt won or the caller disconnected.
    Cancelled,
}

/// Load reported by a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running and queued requests.
    pub running_and_queued: u32,
    /// Age of the number when the reply arrived.
    pub age: Duration,
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from sending to the end.
    pub latency: Duration,
    /// Load report in the reply, if any.
    pub load: Option<LoadReport>,
    /// Incarnation of the server that replied, if the reply contains it.
    pub incarnation: Option<u64>,
}

/// Counters since the router was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Sub-requests of admitted requests, without hedges and retries.
    pub needed: u64,
    /// Hedges that the budget allowed.
    pub hedges: u64,
    /// Retries that the budget allowed.
    pub retries: u64,
    /// Hedges and retries that the budget refused.
    pub extra_refused: u64,
    /// Attempts that back ends shed.
    pub sheds: u64,
    /// Attempts that ended without a usable reply, excluding cancelled ones.
    pub failures: u64,
    /// Attempts that the agent cancelled.
    pub cancelled: u64,
    /// Requests refused by admission control.
    pub refused: u64,
    /// Ejections of back ends that did not answer.
    pub ejections: u64,
}

/// Current state of the router's mechanisms, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouterState {
    /// Factor of the budget for hedges and retries: 1 without shedding, reduced by shed attempts
    /// down to 0. Hedges stop below 0.5; at 0 the budget is a fifth smaller.
    pub budget_factor: f64,
    /// Limit on needed sub-requests per second, `None` while there is none.
    pub admission_limit: Option<f64>,
    /// Share of attempts sent to other regions, averaged over the shards, from 0 to 1.
    pub remote_share: f64,
    /// Number of back ends that are ejected or suspected.
    pub ejected: u32,
}
