//! Which replica sends new routes to a gateway, as a pure decision.
//!
//! Every replica is connected to every gateway, and any of them may send what it has applied. The ones of
//! the gateway's region send at once. The others wait a moment, in which the gateway mostly says that it
//! has the routes: then nothing has crossed a region's border. Where the near ones are gone, the far ones
//! are only that much later.

use std::time::{Duration, Instant};

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
    is_near: bool,
    /// Since when the gateway lacks routes that this replica has.
    waiting_since: Option<Instant>,
}

impl RoutesTurn {
    pub(super) fn new(is_near: bool) -> Self {
        Self {
            is_near,
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
        let send_at = since + FAR_DELAY;
        if !self.is_near && now < send_at {
            return RoutesStep::WaitUntil(send_at);
        }
        self.waiting_since = None;
        RoutesStep::Send
    }
}

#[cfg(test)]
mod tests;
