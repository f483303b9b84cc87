//! Refuses part of the requests while most of their kind come to nothing, as a pure decision.
//!
//! Servers that are asked for more than they can do are late with everything. A gateway sees only its own
//! requests: the further the useful ones lately were below half of those that passed, the more it refuses
//! at once (after the adaptive throttling of Site Reliability Engineering, 2016, chapter 21, which also
//! counts what it refused). The caller may come back when there is room. Requests of one kind and urgency are
//! refused at least as often as any more urgent ones that need the same servers.

use std::{collections::HashMap, time::Duration};

use sablehaven_types::ServiceName;

use crate::{servers::KindOfRequest, urgency::Urgency};

/// Answers that are taken as right for each useful one.
const PASSED_PER_USEFUL: f64 = 2.0;
/// Requests that may come to nothing before any is refused: few say little.
const ALLOWANCE: f64 = 3.0;
/// Kinds, by urgency, beyond which those that were not asked for lately are forgotten.
const KEPT_CLASSES: usize = 64;
/// A count below this is as good as none.
const FORGOTTEN_COUNT: f64 = 0.01;
/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// What the throttle needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ThrottleClass<'a> {
    pub(crate) kind: KindOfRequest,
    pub(crate) urgency: Urgency,
    /// A service that it needs; kinds with the same one need the same servers.
    pub(crate) service: &'a ServiceName,
}

/// The throttle of one gateway.
#[derive(Clone, Debug)]
pub(crate) struct RequestThrottle {
    /// The largest share that is refused: what passes shows when the servers are well again.
    max_share: f64,
    counts: HashMap<(KindOfRequest, Urgency), ClassCount>,
}

#[derive(Clone, Debug)]
struct ClassCount {
    service: ServiceName,
    answered: DecayingCount,
    useful: DecayingCount,
}

impl RequestThrottle {
    pub(crate) fn new(max_share: f64) -> Self {
        Self {
            max_share,
            counts: HashMap::new(),
        }
    }

    /// Whether a request may pass. `draw` is uniform, 0 to 1.
    pub(crate) fn may_pass(&self, now: Duration, class: ThrottleClass<'_>, draw: f64) -> bool {
        draw >= self.share(now, class)
    }

    /// A request that passed has its answer, in time or not. One whose caller left says nothing.
    pub(crate) fn answered(&mut self, now: Duration, class: ThrottleClass<'_>, is_useful: bool) {
        if self.counts.len() > KEPT_CLASSES {
            let is_kept = |count: &ClassCount| count.answered.now(now) > FORGOTTEN_COUNT;
            self.counts.retain(|_, count| is_kept(count));
        }
        let count = self.counts.entry((class.kind, class.urgency));
        let count = count.or_insert_with(|| ClassCount {
            service: class.service.clone(),
            answered: DecayingCount::default(),
            useful: DecayingCount::default(),
        });
        // It may change with the configuration.
        if count.service != *class.service {
            count.service = class.service.clone();
        }
        count.answered.add(now);
        if is_useful {
            count.useful.add(now);
        }
    }

    /// The share of requests to refuse.
    pub(crate) fn share(&self, now: Duration, class: ThrottleClass<'_>) -> f64 {
        let counts = self.counts.iter();
        let as_urgent = counts.filter(|((kind, urgency), count)| {
            let is_own = *kind == class.kind && *urgency == class.urgency;
            is_own || (*urgency < class.urgency && count.service == *class.service)
        });
        as_urgent
            .map(|(_, count)| count.share(now))
            .fold(0.0, f64::max)
            .min(self.max_share)
    }
}

impl ClassCount {
    fn share(&self, now: Duration) -> f64 {
        let answered = self.answered.now(now);
        let passed = PASSED_PER_USEFUL * self.useful.now(now) + ALLOWANCE;
        ((answered - passed) / (answered + 1.0)).max(0.0)
    }
}

/// A count of which half is forgotten in each half-life.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    count: f64,
    at: Duration,
}

impl DecayingCount {
    fn add(&mut self, now: Duration) {
        self.count = self.now(now) + 1.0;
        self.at = now;
    }

    fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

#[cfg(test)]
mod tests;
