//! The platform's server list, as control replicas distribute it to gateways.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{BackendId, ServiceName, ZoneName};

/// One entry of the platform's server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The server's id. It usually changes with each start of the server, but may stay the same.
    pub id: BackendId,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The server's zone.
    pub zone: ZoneName,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining and accepts no new requests.
    pub is_draining: bool,
    /// The remaining warm-up time when the list was read, in milliseconds; 0 for a warm server.
    pub warmup_left_ms: u64,
    /// When the server started, in milliseconds since the Unix epoch, if the list contains it. Distinguishes two starts
    /// with the same id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl ListedServer {
    /// Returns whether the server was cold (still warming up) when the list was read.
    pub fn is_cold(&self) -> bool {
        self.warmup_left_ms > 0
    }

    /// Returns whether a receiver of the `previous` entry of the same server must also receive this one. A server that
    /// has become warm is no update, because receivers count down the warm-up time themselves.
    pub fn is_update_to(&self, previous: &Self) -> bool {
        let has_become_cold = self.is_cold() && !previous.is_cold();
        has_become_cold
            || self.id != previous.id
            || self.address != previous.address
            || self.service != previous.service
            || self.zone != previous.zone
            || self.slots != previous.slots
            || self.started_at_ms != previous.started_at_ms
            || self.is_draining != previous.is_draining
    }
}

/// The number of a reading of the server list. Readings are ordered by the leader's term, then by the leader's count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListingNumber {
    /// The term of the leader that read the list.
    pub term: u64,
    /// The number of that leader's readings so far that differed from their previous reading.
    pub reading: u64,
}

/// The difference between two readings of the server list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingChange {
    /// The reading to which the change applies. A receiver with a different reading cannot apply it.
    pub base: ListingNumber,
    /// The reading that results from the change.
    pub number: ListingNumber,
    /// Servers that are no longer listed.
    pub gone: Vec<BackendId>,
    /// Servers that are new or whose entries have changed.
    pub changed: Vec<ListedServer>,
}

impl ListingChange {
    /// Computes the change from one reading to another.
    pub fn between(base: &ServerListing, next: &ServerListing) -> Self {
        let by_id = |listing: &ServerListing| -> HashMap<BackendId, ListedServer> {
            let servers = listing.servers.iter();
            servers
                .map(|server| (server.id.clone(), server.clone()))
                .collect()
        };
        let (before, after) = (by_id(base), by_id(next));
        let gone = base.servers.iter().map(|server| &server.id);
        let changed = next.servers.iter().filter(|server| {
            before
                .get(&server.id)
                .is_none_or(|previous| server.is_update_to(previous))
        });
        Self {
            base: base.number,
            number: next.number,
            gone: gone.filter(|id| !after.contains_key(id)).cloned().collect(),
            changed: changed.cloned().collect(),
        }
    }
}

impl ListingChange {
    /// Applies the change to `base` and returns the resulting reading, or `None` if the change applies to a different
    /// reading.
    pub fn apply(&self, base: &ServerListing) -> Option<ServerListing> {
        if self.base != base.number {
            return None;
        }
        let gone = self.gone.iter();
        let changed = self.changed.iter().map(|server| &server.id);
        let replaced: HashSet<&BackendId> = gone.chain(changed).collect();
        let kept = base.servers.iter();
        let kept = kept.filter(|server| !replaced.contains(&server.id));
        Some(ServerListing {
            number: self.number,
            servers: kept.chain(&self.changed).cloned().collect(),
        })
    }
}

/// A message that brings a receiver to a newer reading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingUpdate {
    /// The complete reading.
    Whole(Arc<ServerListing>),
    /// The difference from the receiver's current reading.
    Change(ListingChange),
}

/// A complete reading of the platform's server list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// The number of the reading. Receivers ignore readings with lower numbers.
    pub number: ListingNumber,
    /// Every listed server.
    pub servers: Vec<ListedServer>,
}

impl ServerListing {
    /// Returns the entries without duplicate ids. Of several entries with the same id, the one with the latest start is
    /// kept; of several with that start, the first.
    pub fn latest_starts(servers: Vec<ListedServer>) -> Vec<ListedServer> {
        let mut latest: HashMap<BackendId, Option<u64>> = HashMap::with_capacity(servers.len());
        for server in &servers {
            let known = latest.entry(server.id.clone()).or_default();
            *known = (*known).max(server.started_at_ms);
        }
        let mut kept = servers;
        kept.retain(|server| {
            let is_latest = latest.get(&server.id) == Some(&server.started_at_ms);
            if is_latest {
                latest.remove(&server.id);
            }
            is_latest
        });
        kept
    }
}
