//! Measures how late the gateway acts on a query compared with its plan. The overruns feed the route's answer margin.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use sablehaven_http::{BodyObserver, ObservedBody};

use super::Accepted;
use crate::{gateway::Gateway, route_table::RouteProfile};

/// Response body that reports when it is sent.
pub(crate) type AnswerBody = ObservedBody<SendObserver>;

/// Number of times that the timer is checked within a query's latency target.
const PROBES_PER_LATENCY_TARGET: u32 = 8;

/// Observes when a response body is taken for sending.
pub(crate) struct SendObserver {
    gateway: Rc<Gateway>,
    profile: Rc<RouteProfile>,
    planned_at: Instant,
}

impl SendObserver {
    /// Observes a response that was planned for `planned_at`; `None` if the answer margin is not adaptive.
    pub(super) fn new(accepted: &Accepted, planned_at: Instant) -> Option<Self> {
        let bounds = accepted.gateway.config.margin_bounds();
        bounds.is_adaptive().then(|| Self {
            gateway: Rc::clone(&accepted.gateway),
            profile: Rc::clone(&accepted.planned.profile),
            planned_at,
        })
    }
}

impl BodyObserver for SendObserver {
    fn last_frame_taken(self) {
        let overrun = self.planned_at.elapsed();
        self.profile
            .record_overrun(self.gateway.clock.now(), overrun);
    }
}

/// Checks a timer at regular intervals while a query waits for its parts.
pub(super) struct TimerProbe {
    interval: Duration,
    next_at: Option<Instant>,
}

impl TimerProbe {
    pub(super) fn start(accepted: &Accepted) -> Self {
        let latency_target = Duration::from_millis(accepted.planned.route().aim_ms);
        let interval = latency_target / PROBES_PER_LATENCY_TARGET;
        let bounds = accepted.gateway.config.margin_bounds();
        let is_enabled = bounds.is_adaptive() && !interval.is_zero();
        Self {
            interval,
            next_at: is_enabled.then(|| Instant::now() + interval),
        }
    }

    /// The time of the next check, or `other` if it is sooner.
    pub(super) fn wake_at(&self, other: Instant) -> Instant {
        self.next_at.map_or(other, |due_at| due_at.min(other))
    }

    /// Records how late the timer is, if its next check is due.
    pub(super) fn check(&mut self, accepted: &Accepted) {
        let now = Instant::now();
        let Some(due_at) = self.next_at.filter(|due_at| *due_at <= now) else {
            return;
        };
        let profile = &accepted.planned.profile;
        profile.record_overrun(accepted.gateway.clock.now(), now - due_at);
        self.next_at = Some(now + self.interval);
    }
}
