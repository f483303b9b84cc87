//! Whether one back end may get work: draining, ejection for not answering, rest after sheds.

use std::time::Duration;

use sablehaven_types::{BackendState, ObservationKind};

/// Strikes in a row, without any reply between, that eject a back end.
const EJECTION_STRIKES: u32 = 6;
/// Strikes for an attempt that failed.
const FAILURE_STRIKES: u32 = 2;
/// Strikes for an attempt that was cancelled after it had taken longer than most do.
const SLOW_CANCEL_STRIKES: u32 = 1;
/// Rest after the first ejection; doubles with each failed probe.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest rest after an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time for which a back end is passed over after one shed.
const FIRST_SHED_PAUSE: Duration = Duration::from_millis(20);
/// Sheds in a row after which a back end gets only probes.
const SHEDS_UNTIL_PROBES: u32 = 4;
/// Longest time between probes of a back end that sheds all it gets.
const MAX_SHED_PAUSE: Duration = Duration::from_secs(8);
/// Time after which a probe without a result is given up, so that another may go.
const PROBE_PATIENCE: Duration = Duration::from_secs(5);

/// Whether a back end may get work now, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// It takes work.
    Ready,
    /// It shed lately: it gets first attempts only where no replica is ready.
    Pressed,
    /// It did not answer, or is suspected: it gets first attempts only as the last resort.
    Ejected,
    /// It drains or leaves: it gets nothing.
    Gone,
}

/// What one attempt showed of a back end's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It replied.
    Answered,
    /// It refused because it is pressed; it lives.
    Shed,
    /// It refused for another reason than being pressed; it lives.
    Refused,
    /// It gave no usable reply.
    Failed,
    /// It was slower than most when the attempt was cancelled.
    SlowCancel,
}

/// What came of a sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that concerns others.
    None,
    /// Enough strikes for an ejection; the caller decides whether the floor of replicas allows it.
    ShouldEject,
    /// An ejected back end answered again.
    Reinstated,
}

/// The health of one back end, as one agent sees it.
#[derive(Clone, Debug)]
pub struct Health {
    state: BackendState,
    incarnation: u64,
    draining: Option<u64>,
    strikes: u32,
    ejection: Option<Pause>,
    ejections: u32,
    sheds_in_row: u32,
    shed_pause: Option<Pause>,
    probe_sent_at: Option<Duration>,
    reported: Option<ObservationKind>,
}

/// A time in which a back end gets no ordinary work.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Duration,
}

impl Health {
    /// A back end as the shared state records it.
    pub fn new(state: BackendState, incarnation: u64) -> Self {
        Self {
            state,
            incarnation,
            draining: None,
            strikes: 0,
            ejection: None,
            ejections: 0,
            sheds_in_row: 0,
            shed_pause: None,
            probe_sent_at: None,
            reported: None,
        }
    }

    /// Takes in the shared state's record. A newer start of the server forgets all that was seen
    /// of the earlier one.
    pub fn update(&mut self, state: BackendState, incarnation: u64) {
        if incarnation > self.incarnation {
            *self = Self::new(state, incarnation);
            return;
        }
        if self.state != state {
            self.reported = None;
        }
        self.state = state;
    }

    /// Notes that start `incarnation` of the server drains; whether that is news.
    pub fn drains(&mut self, incarnation: u64) -> bool {
        if incarnation < self.incarnation || self.draining == Some(incarnation) {
            return false;
        }
        self.draining = Some(incarnation);
        true
    }

    /// Whether the back end may get work now.
    pub fn availability(&self, now: Duration) -> Availability {
        if self.is_gone() {
            return Availability::Gone;
        }
        if self.ejection.is_some() || self.state == BackendState::Suspected {
            return Availability::Ejected;
        }
        let resting = self.sheds_in_row >= SHEDS_UNTIL_PROBES;
        let paused = self.shed_pause.is_some_and(|pause| now < pause.until);
        if resting || paused {
            return Availability::Pressed;
        }
        Availability::Ready
    }

    /// Whether the back end drains or leaves.
    pub fn is_gone(&self) -> bool {
        self.state == BackendState::Leaving || self.draining.is_some()
    }

    /// Whether the back end is taken out for not answering.
    pub fn is_ejected(&self) -> bool {
        !self.is_gone() && (self.ejection.is_some() || self.state == BackendState::Suspected)
    }

    /// Whether a probe may go to the back end: one attempt that shows whether it is well again.
    pub fn probe_due(&self, now: Duration) -> bool {
        if self.is_gone() || self.probe_outstanding(now) {
            return false;
        }
        if let Some(pause) = self.ejection {
            return now >= pause.until;
        }
        let resting = self.sheds_in_row >= SHEDS_UNTIL_PROBES;
        let pause_over = self.shed_pause.is_none_or(|pause| now >= pause.until);
        self.state == BackendState::Suspected || (resting && pause_over)
    }

    fn probe_outstanding(&self, now: Duration) -> bool {
        self.probe_sent_at
            .is_some_and(|at| now.saturating_sub(at) < PROBE_PATIENCE)
    }

    /// Notes that a probe goes out.
    pub fn probe(&mut self, now: Duration) {
        self.probe_sent_at = Some(now);
    }

    /// Notes that an attempt ended; whether it may have been the probe.
    pub fn end_probe(&mut self) -> bool {
        self.probe_sent_at.take().is_some()
    }

    /// Takes in what one attempt showed; `jitter` from 0 to 1 spreads the pauses of many agents.
    pub fn record(&mut self, now: Duration, sign: Sign, jitter: f64) -> Change {
        match sign {
            Sign::Answered => self.answered(),
            Sign::Refused => self.lives(),
            Sign::Shed => {
                self.shed(now, jitter);
                self.lives()
            }
            Sign::Failed => self.strike(now, FAILURE_STRIKES, jitter),
            Sign::SlowCancel => self.strike(now, SLOW_CANCEL_STRIKES, jitter),
        }
    }

    fn answered(&mut self) -> Change {
        self.sheds_in_row = 0;
        self.shed_pause = None;
        self.lives()
    }

    fn lives(&mut self) -> Change {
        self.strikes = 0;
        self.ejections = 0;
        let was_out = self.ejection.take().is_some() || self.state == BackendState::Suspected;
        if was_out {
            Change::Reinstated
        } else {
            Change::None
        }
    }

    fn shed(&mut self, now: Duration, jitter: f64) {
        let doublings = self.sheds_in_row.min(16);
        self.sheds_in_row += 1;
        let pause = jittered(FIRST_SHED_PAUSE * (1 << doublings), MAX_SHED_PAUSE, jitter);
        self.shed_pause = Some(Pause { until: now + pause });
    }

    fn strike(&mut self, now: Duration, strikes: u32, jitter: f64) -> Change {
        if self.ejection.is_some() {
            self.eject(now, jitter);
            return Change::None;
        }
        self.strikes = self.strikes.saturating_add(strikes);
        if self.strikes >= EJECTION_STRIKES {
            Change::ShouldEject
        } else {
            Change::None
        }
    }

    /// Takes the back end out until a probe is answered.
    pub fn eject(&mut self, now: Duration, jitter: f64) {
        let doublings = self.ejections.min(8);
        let pause = jittered(FIRST_EJECTION * (1 << doublings), MAX_EJECTION, jitter);
        self.ejections += 1;
        self.ejection = Some(Pause { until: now + pause });
    }

    /// Whether `kind` is news to the other agents; noted as reported.
    pub fn report(&mut self, kind: ObservationKind) -> bool {
        let news = self.reported != Some(kind);
        self.reported = Some(kind);
        news
    }

    /// The start of the server that this health is about.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

/// A pause between three quarters and five quarters of `base`, at most `limit` before the jitter.
fn jittered(base: Duration, limit: Duration, jitter: f64) -> Duration {
    base.min(limit).mul_f64(0.75 + 0.5 * jitter)
}
