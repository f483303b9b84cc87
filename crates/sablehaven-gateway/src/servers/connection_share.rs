//! Computes a gateway's share of the connections that a server accepts from all callers. Free of I/O.
//!
//! The gateways near a server send most of its requests. If there are fewer connections than gateways, each gateway may
//! open one, but keeps it idle for a shorter time. Otherwise all of them would hold a connection after a while, and the
//! server resets connections beyond its limit.

use std::time::Duration;

/// Minimum fraction of a server's connections that the gateways near it share; the other gateways share the rest.
const MIN_NEAR_FRACTION: f64 = 0.6;
/// Upper bound of that fraction, used where a smaller one would leave the near gateways a single connection each.
const MAX_NEAR_FRACTION: f64 = 0.75;
/// Connections that a near gateway should have, because queries of one caller may overlap.
const TARGET_NEAR_CONNECTIONS: f64 = 2.0;

/// The number of gateways that share a server's connections, by distance from the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GatewayCounts {
    pub(super) near: u32,
    pub(super) far: u32,
}

/// A gateway's share of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ConnectionShare {
    /// Connections that may be open at the same time.
    pub(super) limit: usize,
    /// Factor on the idle timeout, 0 to 1.
    pub(super) idle_fraction: f64,
}

impl ConnectionShare {
    /// The idle timeout of a connection beside `idle_count` other idle ones, where `base` applies without sharing.
    ///
    /// Connections that are needed only when requests overlap, which is rare, expire sooner. A gateway that loses power
    /// leaves its connections open at the servers. If a server is near its connection limit, no gateway can open a new
    /// one until the server notices.
    pub(super) fn idle_timeout(self, base: Duration, idle_count: usize) -> Duration {
        let rank = 1.0 + idle_count as f64;
        base.mul_f64(self.idle_fraction / (rank * rank))
    }
}

/// The share of one gateway, near the server or not, in `total` connections. It is at most `slots`, the number of
/// requests that the server processes concurrently: more connections would only fill the server's queue, and each
/// costs memory in the gateway.
pub(super) fn connection_share(
    total: u32,
    slots: u32,
    gateways: GatewayCounts,
    is_near: bool,
) -> ConnectionShare {
    let total = f64::from(total);
    let near = f64::from(gateways.near.max(1));
    let far = f64::from(gateways.far.max(1));
    let near_fraction = (TARGET_NEAR_CONNECTIONS * near / total.max(1.0))
        .clamp(MIN_NEAR_FRACTION, MAX_NEAR_FRACTION);
    let fair_share = if is_near {
        total * near_fraction / near
    } else {
        total * (1.0 - near_fraction) / far
    };
    // Rounded to the nearest integer rather than down, because overlapping requests wait for each other on a single
    // connection. A shorter idle timeout makes up for the excess.
    let limit = (fair_share.round() as usize).min(slots as usize).max(1);
    ConnectionShare {
        limit,
        idle_fraction: (fair_share / limit as f64).min(1.0),
    }
}

#[cfg(test)]
mod tests;
