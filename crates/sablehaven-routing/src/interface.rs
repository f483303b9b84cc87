//! The types through which an agent asks for decisions and reports what happened.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sablehaven_types::{
    AgentId, BackendId, BackendRecord, IndexSnapshot, Placement, RoutingSettings,
};

/// The agent that decides: its name spreads agents over back ends, its place says what is near.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentLocation {
    /// The agent.
    pub agent: AgentId,
    /// Where it runs.
    pub placement: Placement,
}

/// The shared state of one service, as the agent's latest view has it.
#[derive(Clone, Copy, Debug)]
pub struct ServiceUpdate<'a> {
    /// Limits and routing settings.
    pub settings: &'a RoutingSettings,
    /// Every back end of the service.
    pub backends: &'a [Arc<BackendRecord>],
    /// The snapshot that new queries pin.
    pub snapshot: &'a IndexSnapshot,
    /// Agents that send to the service, this one included.
    pub agents: u32,
}

/// Whether a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may start now.
    Admitted,
    /// The service is pressed; nothing was sent.
    Refused {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// The back end chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenBackend {
    /// The back end.
    pub backend: BackendId,
    /// IP number and port of its HTTP interface.
    pub address: SocketAddr,
    /// The start of the server that the record names.
    pub incarnation: u64,
}

/// The kinds of attempt beyond the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraAttemptKind {
    /// A second attempt beside one that is slow.
    Hedge,
    /// A new attempt after one that ended without a reply.
    Retry,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A reply came that can be used.
    Replied,
    /// The back end refused because it is pressed.
    Shed,
    /// The back end refused because it drains.
    Draining,
    /// The back end does not hold the pinned snapshot.
    SnapshotGone,
    /// The back end refused because the deadline had passed.
    DeadlineRefused,
    /// No usable reply: connection lost, deadline passed without an answer, or a bad reply.
    Failed,
    /// The agent cancelled it, because another attempt won or the caller went away.
    Cancelled,
}

/// A back end's own count of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and queued.
    pub running_and_queued: u32,
    /// Age of the count when the reply arrived.
    pub age: Duration,
}

/// What one attempt showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from sending to the end.
    pub latency: Duration,
    /// The load report that came with the reply, if one did.
    pub load: Option<LoadReport>,
    /// The start of the server that replied, if it said so.
    pub incarnation: Option<u64>,
}

/// Counts since the router was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Sub-requests of admitted requests: the work that the requests themselves need.
    pub needed: u64,
    /// Hedges that the budget allowed.
    pub hedges: u64,
    /// Retries that the budget allowed.
    pub retries: u64,
    /// Hedges and retries that the budget refused.
    pub extra_refused: u64,
    /// Attempts that back ends shed.
    pub sheds: u64,
    /// Attempts that ended without a usable reply, cancelled ones not counted.
    pub failures: u64,
    /// Attempts that the agent cancelled.
    pub cancelled: u64,
    /// Requests refused by admission.
    pub refused: u64,
    /// Back ends taken out for not answering.
    pub ejections: u64,
}

/// What the router's mechanisms are set to now, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouterState {
    /// 1 without sheds, lowered by them to 0: below 0.5 no hedges are sent, at 0 a fifth of the
    /// extra load budget is gone.
    pub budget_factor: f64,
    /// The limit on needed work in sub-requests per second, while there is one.
    pub admission_limit: Option<f64>,
    /// The share of work that spills to other regions, averaged over the shards, from 0 to 1.
    pub remote_share: f64,
    /// Back ends taken out for not answering, or suspected.
    pub ejected: u32,
}
