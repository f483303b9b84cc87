//! Health of one back end as seen by one agent: draining, outlier ejection, and backoff after shed
//! attempts.

use std::time::Duration;

use sablehaven_types::{BackendState, ObservationKind};

/// Failure score at which a back end is ejected. Any reply resets the score.
const EJECTION_SCORE: u32 = 6;
/// Score of a failed attempt.
const FAILURE_SCORE: u32 = 2;
/// Score of an attempt that was cancelled after it had taken longer than most do.
const SLOW_CANCEL_SCORE: u32 = 1;
/// Duration of the first ejection; doubles with each failed probe.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time for which a back end is skipped after its first shed attempt; doubles with each further one
/// in a row.
const BASE_SHED_BACKOFF: Duration = Duration::from_millis(20);
/// Consecutive shed attempts after which a back end receives only probes.
const PROBE_ONLY_SHEDS: u32 = 4;
/// Longest time between probes of a back end that sheds everything it receives.
const MAX_SHED_BACKOFF: Duration = Duration::from_secs(8);
/// Time after which a probe without a result is abandoned, so that another may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a back end may receive work now, from most to least available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// It receives work.
    Ready,
    /// It shed an attempt recently: it receives first attempts only where no replica is ready.
    Shedding,
    /// It did not answer, or is suspected: it receives first attempts only as a last resort.
    Ejected,
    /// It is draining or leaving: it receives nothing.
    Stopping,
}

/// What the result of one attempt says about the health of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It replied.
    Replied,
    /// It refused because of overload, so it is alive.
    Shed,
    /// It refused for a reason other than overload, so it is alive.
    Refused,
    /// It gave no usable reply.
    Failed,
    /// It had been slower than most when the attempt was cancelled.
    SlowCancelled,
}

/// What a signal changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing that other agents need to know.
    None,
    /// The failure score reached the threshold; the caller decides whether enough replicas remain
    /// for an ejection.
    ShouldEject,
    /// An ejected back end answered again.
    Reinstated,
}

/// The health of one back end, as one agent sees it.
#[derive(Clone, Debug)]
pub struct Health {
    state: BackendState,
    incarnation: u64,
    draining_incarnation: Option<u64>,
    failure_score: u32,
    ejection: Option<Backoff>,
    consecutive_ejections: u32,
    consecutive_sheds: u32,
    shed_backoff: Option<Backoff>,
    probe_sent_at: Option<Duration>,
    last_reported: Option<ObservationKind>,
}

/// A period in which a back end receives no ordinary work.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
}

impl Health {
    /// Creates the health of a back end from its record in the shared state.
    pub fn new(state: BackendState, incarnation: u64) -> Self {
        Self {
            state,
            incarnation,
            draining_incarnation: None,
            failure_score: 0,
            ejection: None,
            consecutive_ejections: 0,
            consecutive_sheds: 0,
            shed_backoff: None,
            probe_sent_at: None,
            last_reported: None,
        }
    }

    /// Applies the record in the shared state. A newer incarnation of the server discards
    /// everything observed of the earlier one.
    pub fn update(&mut self, state: BackendState, incarnation: u64) {
        if incarnation > self.incarnation {
            *self = Self::new(state, incarnation);
            return;
        }
        if self.state != state {
            self.last_reported = None;
        }
        self.state = state;
    }

    /// Records that this incarnation of the server is draining. Returns whether that was not known
    /// before.
    pub fn mark_draining(&mut self, incarnation: u64) -> bool {
        if incarnation < self.incarnation || self.draining_incarnation == Some(incarnation) {
            return false;
        }
        self.draining_incarnation = Some(incarnation);
        true
    }

    /// Returns whether the back end may receive work now.
    pub fn availability(&self, now: Duration) -> Availability {
        if self.is_stopping() {
            return Availability::Stopping;
        }
        if self.ejection.is_some() || self.state == BackendState::Suspected {
            return Availability::Ejected;
        }
        let is_probe_only = self.consecutive_sheds >= PROBE_ONLY_SHEDS;
        let is_backing_off = self.shed_backoff.is_some_and(|backoff| now < backoff.until);
        if is_probe_only || is_backing_off {
            return Availability::Shedding;
        }
        Availability::Ready
    }

    /// Returns whether the back end is draining or leaving.
    pub fn is_stopping(&self) -> bool {
        self.state == BackendState::Leaving || self.draining_incarnation.is_some()
    }

    /// Returns whether the back end is ejected or suspected because it did not answer.
    pub fn is_ejected(&self) -> bool {
        !self.is_stopping() && (self.ejection.is_some() || self.state == BackendState::Suspected)
    }

    /// Returns whether a probe may be sent: one attempt that shows whether the back end has
    /// recovered.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        if self.is_stopping() || self.has_outstanding_probe(now) {
            return false;
        }
        if let Some(backoff) = self.ejection {
            return now >= backoff.until;
        }
        let is_probe_only = self.consecutive_sheds >= PROBE_ONLY_SHEDS;
        let is_backoff_over = self.shed_backoff.is_none_or(|backoff| now >= backoff.until);
        self.state == BackendState::Suspected || (is_probe_only && is_backoff_over)
    }

    fn has_outstanding_probe(&self, now: Duration) -> bool {
        self.probe_sent_at
            .is_some_and(|at| now.saturating_sub(at) < PROBE_TIMEOUT)
    }

    /// Records that a probe is sent.
    pub fn start_probe(&mut self, now: Duration) {
        self.probe_sent_at = Some(now);
    }

    /// Records that an attempt ended. Returns whether it may have been the probe.
    pub fn end_probe(&mut self) -> bool {
        self.probe_sent_at.take().is_some()
    }

    /// Applies the result of one attempt. `jitter` from 0 to 1 spreads the backoff times of the
    /// agents.
    pub fn record(&mut self, now: Duration, signal: HealthSignal, jitter: f64) -> HealthChange {
        match signal {
            HealthSignal::Replied => self.on_reply(),
            HealthSignal::Refused => self.mark_alive(),
            HealthSignal::Shed => {
                self.on_shed(now, jitter);
                self.mark_alive()
            }
            HealthSignal::Failed => self.add_failure(now, FAILURE_SCORE, jitter),
            HealthSignal::SlowCancelled => self.add_failure(now, SLOW_CANCEL_SCORE, jitter),
        }
    }

    fn on_reply(&mut self) -> HealthChange {
        self.consecutive_sheds = 0;
        self.shed_backoff = None;
        self.mark_alive()
    }

    fn mark_alive(&mut self) -> HealthChange {
        self.failure_score = 0;
        self.consecutive_ejections = 0;
        let was_ejected = self.ejection.take().is_some() || self.state == BackendState::Suspected;
        if was_ejected {
            HealthChange::Reinstated
        } else {
            HealthChange::None
        }
    }

    fn on_shed(&mut self, now: Duration, jitter: f64) {
        let doublings = self.consecutive_sheds.min(16);
        self.consecutive_sheds += 1;
        let backoff = jittered(
            BASE_SHED_BACKOFF * (1 << doublings),
            MAX_SHED_BACKOFF,
            jitter,
        );
        self.shed_backoff = Some(Backoff {
            until: now + backoff,
        });
    }

    fn add_failure(&mut self, now: Duration, score: u32, jitter: f64) -> HealthChange {
        if self.ejection.is_some() {
            self.eject(now, jitter);
            return HealthChange::None;
        }
        self.failure_score = self.failure_score.saturating_add(score);
        if self.failure_score >= EJECTION_SCORE {
            HealthChange::ShouldEject
        } else {
            HealthChange::None
        }
    }

    /// Ejects the back end until it answers a probe.
    pub fn eject(&mut self, now: Duration, jitter: f64) {
        let doublings = self.consecutive_ejections.min(8);
        let backoff = jittered(
            BASE_EJECTION_TIME * (1 << doublings),
            MAX_EJECTION_TIME,
            jitter,
        );
        self.consecutive_ejections += 1;
        self.ejection = Some(Backoff {
            until: now + backoff,
        });
    }

    /// Returns whether `kind` has yet to be reported to the other agents, and marks it as reported.
    pub fn mark_reported(&mut self, kind: ObservationKind) -> bool {
        let is_new = self.last_reported != Some(kind);
        self.last_reported = Some(kind);
        is_new
    }

    /// Returns the incarnation of the server that this health describes.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

/// Returns a duration between three quarters and five quarters of `base`, which is limited to
/// `limit` before the jitter.
fn jittered(base: Duration, limit: Duration, jitter: f64) -> Duration {
    base.min(limit).mul_f64(0.75 + 0.5 * jitter)
}
