//! The platform's list of servers, as gateways use it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{BackendId, ServiceName, ZoneName};

/// One server of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The server; another start of it has another one as a rule, but may have the same.
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
    /// When it started, in milliseconds since the Unix epoch, where the list says so. Tells two starts under the same
    /// id apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl ListedServer {
    /// Whether the server was cold when the list was read.
    pub fn is_cold(&self) -> bool {
        self.warmup_left_ms > 0
    }

    /// Whether this entry says something that the `former` one of the same server did not. That a server has
    /// become warm is no news: whoever knew that it was cold counts down by itself.
    pub fn is_update_to(&self, former: &Self) -> bool {
        let has_turned_cold = self.is_cold() && !former.is_cold();
        has_turned_cold
            || self.id != former.id
            || self.address != former.address
            || self.service != former.service
            || self.zone != former.zone
            || self.slots != former.slots
            || self.started_at_ms != former.started_at_ms
            || self.is_draining != former.is_draining
    }
}

/// A reading of the list, ordered by the leader's term and its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListingNumber {
    /// The term of the leader that read it.
    pub term: u64,
    /// Counts that leader's readings which differ from the one before.
    pub reading: u64,
}

/// What differs between two readings of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingChange {
    /// The reading that this changes; it says nothing to a receiver that has another one.
    pub base: ListingNumber,
    /// The reading that it leads to.
    pub number: ListingNumber,
    /// Servers that are not listed any more.
    pub gone: Vec<BackendId>,
    /// Servers that are new or that the list describes otherwise than before.
    pub changed: Vec<ListedServer>,
}

impl ListingChange {
    /// What leads from one reading to another.
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
                .is_none_or(|known| server.is_update_to(known))
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
    /// The reading that this leads to from `base`; `None` where it changes another one.
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

/// What brings a receiver to a reading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingUpdate {
    /// All of it.
    Whole(Arc<ServerListing>),
    /// What differs from the reading that the receiver has.
    Change(ListingChange),
}

/// A whole reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// Orders readings; receivers only go forward.
    pub number: ListingNumber,
    /// Every server.
    pub servers: Vec<ListedServer>,
}

impl ServerListing {
    /// The servers of a reading, each id once: of several entries with the same one, the latest start.
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
