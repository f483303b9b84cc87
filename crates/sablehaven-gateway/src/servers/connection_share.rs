//! A gateway's part of the connections that a server takes from all callers, as a pure decision.
//!
//! The gateways near a server send it most. Where there are fewer connections than gateways, each may
//! have one, and keeps it only for part of the time: else all of them would hold one after a while, and
//! the server resets what is beyond its limit.

use std::time::Duration;

/// Part of a server's connections that the gateways near it share; the others share the rest.
const NEAR_SHARE: f64 = 0.6;
/// The same where less would leave them a single connection each.
const LARGEST_NEAR_SHARE: f64 = 0.75;
/// Connections that a near gateway should have: queries of one caller may overlap.
const WANTED_NEAR: f64 = 2.0;

/// The gateways that share a server's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SharerCount {
    pub(super) near: u32,
    pub(super) far: u32,
}

/// A gateway's part of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ConnectionShare {
    /// Connections that may be open at a time.
    pub(super) limit: usize,
    /// Part of the usual time, 0 to 1, for which an idle connection is kept.
    pub(super) kept: f64,
}

impl ConnectionShare {
    /// How long a connection is kept idle beside `resting` others that are.
    ///
    /// Those that only a rare overlap needs go soon: a gateway that loses its power leaves its connections
    /// open at the servers, and where these are near their limit nobody finds room until they notice.
    pub(super) fn rest(self, usual: Duration, resting: usize) -> Duration {
        let others = 1.0 + resting as f64;
        usual.mul_f64(self.kept / (others * others))
    }
}

/// The part of one gateway, near the server or not, of `whole` connections. More than the requests that the
/// server works on at once would only fill its queue, and each costs memory here.
pub(super) fn connection_share(
    whole: u32,
    slots: u32,
    sharers: SharerCount,
    is_near: bool,
) -> ConnectionShare {
    let whole = f64::from(whole);
    let near = f64::from(sharers.near.max(1));
    let far = f64::from(sharers.far.max(1));
    let near_share = (WANTED_NEAR * near / whole.max(1.0)).clamp(NEAR_SHARE, LARGEST_NEAR_SHARE);
    let fair = if is_near {
        whole * near_share / near
    } else {
        whole * (1.0 - near_share) / far
    };
    // To the nearest: a single connection holds up requests that overlap. What that is too much is made
    // up for by the time for which idle ones are kept.
    let limit = (fair.round() as usize).min(slots as usize).max(1);
    ConnectionShare {
        limit,
        kept: (fair / limit as f64).min(1.0),
    }
}

#[cfg(test)]
mod tests;
