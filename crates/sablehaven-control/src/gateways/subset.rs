//! How many gateways of a zone take callers, and which, as pure decisions.
//!
//! A gateway that sees many queries keeps its connections in use, knows the pace of the servers, and has a
//! part of the budgets that is worth something. Where a zone has many more gateways than its traffic needs,
//! callers are therefore told of some of them. How many follows from what they report; which ones, from
//! their addresses alone, so that all replicas name the same ones and little moves when one comes or goes.
//! The others stay ready: they have routes and the list of servers, and are named as soon as they are needed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_wire::GatewayLoad;
use xxhash_rust::xxh3::Xxh3;

/// Gateways of a zone that are named however little they have to do: two may be lost at once, and those
/// that are left bear twice their load.
const LEAST_GATEWAYS: u32 = 4;
/// Part of its time that a named gateway should be at work: twice the traffic is then still borne until
/// callers have renewed what they were told.
const WANTED_BUSY: f64 = 0.35;
/// Time for which a subset must have been larger than needed before it shrinks: callers' traffic comes in
/// waves of some seconds, and each change costs new connections.
const SHRINK_PAUSE: Duration = Duration::from_secs(10);
/// A gateway with this part of the attempts of the busiest ones serves callers too. Others have a few, of
/// callers that look at every gateway or kept an old address; what they share would be missing elsewhere.
const SERVING_PART: f64 = 0.25;
/// Part of what is too much that goes at a time.
const SHRINK_PART: f64 = 0.5;

/// The place of a gateway in the order in which the gateways of a zone are named.
pub(super) type GatewayRank = (u64, SocketAddr);

/// The rank of a gateway; the address tells equal hashes apart.
pub(super) fn gateway_rank(address: SocketAddr) -> GatewayRank {
    let mut hasher = Xxh3::new();
    match address {
        SocketAddr::V4(address) => hasher.update(&address.ip().octets()),
        SocketAddr::V6(address) => hasher.update(&address.ip().octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    (hasher.digest(), address)
}

/// The load of the gateways of one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLoad {
    loads: Vec<GatewayLoad>,
}

impl ZoneLoad {
    /// Adds a gateway.
    pub(super) fn add(&mut self, load: GatewayLoad) {
        self.loads.push(load);
    }

    /// The fewest attempts with which a gateway counts as serving: a part of the mean of the `size` busiest.
    pub(super) fn least_attempts(&self, size: usize) -> u32 {
        let mut attempts: Vec<u32> = self.loads.iter().map(|load| load.attempts).collect();
        attempts.sort_unstable_by(|one, other| other.cmp(one));
        attempts.truncate(size);
        let sum: u64 = attempts.iter().copied().map(u64::from).sum();
        let mean = sum as f64 / attempts.len().max(1) as f64;
        ((mean * SERVING_PART).ceil() as u32).max(1)
    }

    /// What the serving gateways have to do together, in gateways that are always at work.
    pub(super) fn traffic(&self, least_attempts: u32) -> f64 {
        let loads = self.loads.iter();
        let serving = loads.filter(|load| load.attempts >= least_attempts);
        let busy = serving.map(|load| f64::from(load.busy_permille) / 1_000.0);
        busy.sum()
    }
}

/// How many gateways of one zone are named: grows at once, shrinks slowly.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubsetSize {
    size: u32,
    /// Since when it has been larger than needed.
    too_large_since: Option<Instant>,
}

impl Default for SubsetSize {
    fn default() -> Self {
        Self {
            size: LEAST_GATEWAYS,
            too_large_since: None,
        }
    }
}

impl SubsetSize {
    /// The number of gateways to name, which may be more than there are.
    pub(super) fn size(self) -> usize {
        self.size as usize
    }

    /// Takes the traffic of the zone, as [`ZoneLoad::traffic`] sums it.
    pub(super) fn observe(&mut self, now: Instant, traffic: f64) {
        let needed = (traffic / WANTED_BUSY).ceil() as u32;
        let needed = needed.max(LEAST_GATEWAYS);
        if needed >= self.size {
            self.size = needed;
            self.too_large_since = None;
            return;
        }
        let since = *self.too_large_since.get_or_insert(now);
        if now.saturating_duration_since(since) < SHRINK_PAUSE {
            return;
        }
        let excess = f64::from(self.size - needed);
        self.size -= (excess * SHRINK_PART).ceil() as u32;
        self.too_large_since = Some(now);
    }
}

#[cfg(test)]
mod tests;
