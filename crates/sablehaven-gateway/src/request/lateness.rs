//! How much later than planned a query is acted on, as its gateway sees it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use sablehaven_http::{BodyObserver, ObservedBody};

use super::Accepted;
use crate::{gateway::Gateway, route_table::RouteProfile};

/// The body of an answer to a caller.
pub(crate) type AnswerBody = ObservedBody<SendObserver>;

/// Moments within the time of a query at which its timer is looked at.
const PROBES: u32 = 8;

/// Observes when the body of an answer is on its way.
pub(crate) struct SendObserver {
    gateway: Rc<Gateway>,
    profile: Rc<RouteProfile>,
    planned_at: Instant,
}

impl SendObserver {
    /// An observer of an answer that was to be made at this moment; `None` where nothing is learned.
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
    fn taken(self) {
        let overrun = self.planned_at.elapsed();
        self.profile.overran(self.gateway.clock.now(), overrun);
    }
}

/// Looks at a timer at even moments while a query waits for its parts.
pub(super) struct TimerProbe {
    step: Duration,
    next_at: Option<Instant>,
}

impl TimerProbe {
    pub(super) fn start(accepted: &Accepted) -> Self {
        let aim = Duration::from_millis(accepted.planned.route().aim_ms);
        let step = aim / PROBES;
        let bounds = accepted.gateway.config.margin_bounds();
        let is_used = bounds.is_adaptive() && !step.is_zero();
        Self {
            step,
            next_at: is_used.then(|| Instant::now() + step),
        }
    }

    /// The next moment at which to wake, or `other` where that is sooner.
    pub(super) fn wake_at(&self, other: Instant) -> Instant {
        self.next_at.map_or(other, |at| at.min(other))
    }

    /// Observes how late the timer is, where its moment is over.
    pub(super) fn look(&mut self, accepted: &Accepted) {
        let now = Instant::now();
        let Some(at) = self.next_at.filter(|at| *at <= now) else {
            return;
        };
        let profile = &accepted.planned.profile;
        profile.overran(accepted.gateway.clock.now(), now - at);
        self.next_at = Some(now + self.step);
    }
}
