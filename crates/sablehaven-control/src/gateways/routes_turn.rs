//! Which replica sends new routes to a gateway, as a pure decision.
//!
//! Every replica is connected to every gateway, and any of them may send what it has applied. The ones of
//! the gateway's zone send at once. The others wait a moment, in which the gateway mostly says that it has
//! the routes: then nothing has crossed the border of a zone or region. Where the near ones are gone, the
//! far ones are only that much later.

use std::time::{Duration, Instant};

use sablehaven_types::Distance;

/// Time that the replicas of the gateway's zone have before those of its region send.
const REGION_DELAY: Duration = Duration::from_millis(100);
/// Time that the replicas of the gateway's region have before others send: a few ways there and back, and
/// a small part of the seconds within which a change must be in force.
const FAR_DELAY: Duration = Duration::from_millis(300);

/// What a replica does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoutesStep {
    /// The gateway has what this replica has.
    Nothing,
    /// Send the routes.
    Send,
    /// Look again at this time.
    WaitUntil(Instant),
}

/// A replica's turn to send routes to one gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoutesTurn {
    /// Time that nearer replicas have.
    delay: Duration,
    /// Since when the gateway lacks routes that this replica has.
    waiting_since: Option<Instant>,
}

impl RoutesTurn {
    /// The turn of a replica that is so far from the gateway.
    pub(super) fn new(distance: Distance) -> Self {
        let delay = match distance {
            Distance::Zone => Duration::ZERO,
            Distance::Region => REGION_DELAY,
            Distance::Remote => FAR_DELAY,
        };
        Self {
            delay,
            waiting_since: None,
        }
    }

    /// What to do, where `is_behind` says whether the gateway lacks routes that this replica has.
    pub(super) fn next(&mut self, now: Instant, is_behind: bool) -> RoutesStep {
        if !is_behind {
            self.waiting_since = None;
            return RoutesStep::Nothing;
        }
        let since = *self.waiting_since.get_or_insert(now);
        let send_at = since + self.delay;
        if now < send_at {
            return RoutesStep::WaitUntil(send_at);
        }
        self.waiting_since = None;
        RoutesStep::Send
    }
}

#[cfg(test)]
mod tests;
