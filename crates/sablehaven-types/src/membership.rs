//! Back ends as recorded in the replicated state, and agents' observations of them.

use serde::{Deserialize, Serialize};

use crate::{BackendId, RegionName, ServiceName, ZoneName};

/// The region and zone in which a process runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The region.
    pub region: RegionName,
    /// The zone within the region.
    pub zone: ZoneName,
}

/// One back-end server as recorded in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The back end's id.
    pub id: BackendId,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// The IP address and port of its HTTP interface.
    pub address: std::net::SocketAddr,
    /// The region and zone in which it runs.
    pub placement: Placement,
    /// Whether it receives new requests.
    pub state: BackendState,
    /// Increases with each start of the server. Observations of an earlier start are ignored.
    pub incarnation: u64,
}

/// Whether a back end receives new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Receives new requests.
    Live,
    /// Shutting down: receives no new requests and finishes those that it has.
    Leaving,
    /// Reported unreachable by several agents: receives no new requests until it is reachable again.
    Suspected,
}

/// An agent's observation of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Observation {
    /// The observed back end.
    pub backend: BackendId,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// The incarnation that was observed.
    pub incarnation: u64,
    /// What was observed.
    pub kind: ObservationKind,
}

/// The kinds of observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservationKind {
    /// The back end itself reported that it is draining. One such observation is sufficient.
    Draining,
    /// The back end failed to answer several times in succession. The report of a single agent excludes no back end.
    Unreachable,
    /// The back end answered again after it had been reported unreachable.
    Reachable,
}
