//! The subset of a zone's gateways that is advertised to callers: its size and its order, as pure functions.
//!
//! A gateway that handles many queries keeps its connections in use, has current measurements of the servers' speed,
//! and holds a share of the budgets that is large enough to be useful. If a zone has many more gateways than its
//! traffic needs, callers are therefore sent the addresses of only some of them. Their number is derived from the
//! reported load. Which ones they are depends on their addresses alone, so that all replicas advertise the same
//! gateways and the subset changes little when a gateway is added or removed. The others are on standby: they have the
//! routes and the list of servers, and are advertised as soon as they are needed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_wire::GatewayLoad;
use xxhash_rust::xxh3::Xxh3;

/// Minimum number of advertised gateways of a zone, however low the load: two may be lost at once, and the remaining
/// ones can take twice their load.
const MINIMUM_GATEWAYS: u32 = 4;
/// Fraction of its time that an advertised gateway should be busy. It leaves room for twice the traffic until callers
/// have refreshed their addresses.
const TARGET_UTILISATION: f64 = 0.35;
/// Time for which a subset must have been larger than needed before it shrinks: traffic fluctuates over several
/// seconds, and each change of the subset costs new connections.
const SHRINK_DELAY: Duration = Duration::from_secs(10);
/// A gateway counts as serving callers if it has at least this fraction of the mean attempts of the busiest ones.
/// Others have a few attempts, from callers that check every gateway or still use an old address; a share of the
/// servers' capacity given to them would be missing at the serving gateways.
const SERVING_ATTEMPTS_RATIO: f64 = 0.25;
/// Fraction of the excess by which a subset shrinks at a time.
const SHRINK_RATIO: f64 = 0.5;

/// The rank of a gateway: the gateways of a zone with the lowest ranks are advertised.
pub(super) type GatewayRank = (u64, SocketAddr);

/// Returns the rank of a gateway: the hash of its address, with the address itself to order equal hashes.
pub(super) fn gateway_rank(address: SocketAddr) -> GatewayRank {
    let mut hasher = Xxh3::new();
    match address {
        SocketAddr::V4(address) => hasher.update(&address.ip().octets()),
        SocketAddr::V6(address) => hasher.update(&address.ip().octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    (hasher.digest(), address)
}

/// The load of each gateway of one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLoad {
    loads: Vec<GatewayLoad>,
}

impl ZoneLoad {
    /// Adds the load of a gateway.
    pub(super) fn add(&mut self, load: GatewayLoad) {
        self.loads.push(load);
    }

    /// Returns the minimum number of attempts with which a gateway counts as serving: a fraction of the mean of the
    /// `size` gateways with the most attempts, but at least 1.
    pub(super) fn minimum_attempts(&self, size: usize) -> u32 {
        let mut attempts: Vec<u32> = self.loads.iter().map(|load| load.attempts).collect();
        attempts.sort_unstable_by(|one, other| other.cmp(one));
        attempts.truncate(size);
        let sum: u64 = attempts.iter().copied().map(u64::from).sum();
        let mean = sum as f64 / attempts.len().max(1) as f64;
        ((mean * SERVING_ATTEMPTS_RATIO).ceil() as u32).max(1)
    }

    /// Returns the total load of the serving gateways, as an equivalent number of gateways that are always busy.
    pub(super) fn traffic(&self, minimum_attempts: u32) -> f64 {
        let loads = self.loads.iter();
        let serving = loads.filter(|load| load.attempts >= minimum_attempts);
        let busy = serving.map(|load| f64::from(load.busy_permille) / 1_000.0);
        busy.sum()
    }
}

/// The number of advertised gateways of one zone. It grows immediately and shrinks slowly.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubsetSize {
    size: u32,
    /// When it became larger than needed, or last shrank since then.
    oversized_since: Option<Instant>,
}

impl Default for SubsetSize {
    fn default() -> Self {
        Self {
            size: MINIMUM_GATEWAYS,
            oversized_since: None,
        }
    }
}

impl SubsetSize {
    /// Returns the number of gateways to advertise, which may exceed the number of gateways in the zone.
    pub(super) fn size(self) -> usize {
        self.size as usize
    }

    /// Updates the size for the traffic of the zone, as returned by [`ZoneLoad::traffic`].
    pub(super) fn observe(&mut self, now: Instant, traffic: f64) {
        let needed = (traffic / TARGET_UTILISATION).ceil() as u32;
        let needed = needed.max(MINIMUM_GATEWAYS);
        if needed >= self.size {
            self.size = needed;
            self.oversized_since = None;
            return;
        }
        let since = *self.oversized_since.get_or_insert(now);
        if now.saturating_duration_since(since) < SHRINK_DELAY {
            return;
        }
        let excess = f64::from(self.size - needed);
        self.size -= (excess * SHRINK_RATIO).ceil() as u32;
        self.oversized_since = Some(now);
    }
}

#[cfg(test)]
mod tests;
