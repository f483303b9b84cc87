//! Back ends as the shared state records them, and what agents observe of them.

use serde::{Deserialize, Serialize};

use crate::{BackendId, RegionName, ServiceName, ZoneName};

/// Where a process runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The region.
    pub region: RegionName,
    /// The zone within it.
    pub zone: ZoneName,
}

/// One back-end server as the shared state records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The back end.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// IP number and port of its HTTP interface.
    pub address: std::net::SocketAddr,
    /// Where it runs.
    pub placement: Placement,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Grows with each start of the server; an observation of an earlier start is ignored.
    pub incarnation: u64,
}

/// Whether a back end takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Takes new work.
    Live,
    /// Is leaving: gets no new work, finishes what it has.
    Leaving,
    /// Suspected by several agents: gets no new work until it is seen well again.
    Suspected,
}

/// What an agent saw of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Observation {
    /// The back end.
    pub backend: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The start of the server that was seen.
    pub incarnation: u64,
    /// What was seen.
    pub kind: ObservationKind,
}

/// The kinds of observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservationKind {
    /// The back end itself said that it drains; enough alone.
    Draining,
    /// It did not answer several times in a row; one agent's word removes nobody.
    Unreachable,
    /// It answered again after it had been reported unreachable.
    Reachable,
}
