//! The platform's list of servers, as gateways use it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BackendId, ServiceName, ZoneName};

/// One server of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// This start of the server; another start has another one.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_draining: bool,
    /// Time until it is warm, in milliseconds, when the list was read.
    pub warmup_left_ms: u64,
}

/// A reading of the list, ordered by the leader's term and its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListingNumber {
    /// The term of the leader that read it.
    pub term: u64,
    /// Counts that leader's readings which differ from the one before.
    pub reading: u64,
}

/// A whole reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// Orders readings; receivers only go forward.
    pub number: ListingNumber,
    /// Every server.
    pub servers: Vec<ListedServer>,
}
