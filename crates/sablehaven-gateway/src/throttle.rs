//! Adaptive throttling: sheds a share of the requests while most requests of their kind fail or are late. The
//! decision is a pure function.
//!
//! Servers that get more requests than they can handle are late with all of them, and a gateway only sees its own
//! requests. Therefore, the further the recent useful responses are below half of all responses, the more requests
//! the gateway refuses at once, so that callers can retry when there is capacity. This follows the adaptive
//! throttling of Site Reliability Engineering (2016), chapter 21, which in addition counts the refused requests.
//!
//! Requests of one kind and urgency are refused at least as often as any more urgent requests that need the same
//! servers.

use std::{collections::HashMap, time::Duration};

use sablehaven_types::ServiceName;

use crate::{servers::RouteId, urgency::Urgency};

/// Number of responses that are accepted as normal for each useful one.
const ANSWERED_PER_USEFUL: f64 = 2.0;
/// Number of requests that may fail or be late before any is refused, since a few say little.
const ALLOWANCE: f64 = 3.0;
/// Number of classes (kind and urgency) above which classes without recent requests are removed.
const MAX_CLASSES: usize = 64;
/// A count below this is treated as zero.
const NEGLIGIBLE_COUNT: f64 = 0.01;
/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The properties of a request that the throttle uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ThrottleClass<'a> {
    pub(crate) kind: RouteId,
    pub(crate) urgency: Urgency,
    /// A service that the request needs. Kinds with the same service need the same servers.
    pub(crate) service: &'a ServiceName,
}

/// The throttle of one gateway.
#[derive(Clone, Debug)]
pub(crate) struct RequestThrottle {
    /// Maximum share of requests that is refused. The rest shows when the servers have recovered.
    max_shed_share: f64,
    counts: HashMap<(RouteId, Urgency), ClassCount>,
}

#[derive(Clone, Debug)]
struct ClassCount {
    service: ServiceName,
    answered: DecayingCount,
    useful: DecayingCount,
}

impl RequestThrottle {
    pub(crate) fn new(max_shed_share: f64) -> Self {
        Self {
            max_shed_share,
            counts: HashMap::new(),
        }
    }

    /// Whether a request may pass. `draw` is uniform, 0 to 1.
    pub(crate) fn may_pass(&self, now: Duration, class: ThrottleClass<'_>, draw: f64) -> bool {
        draw >= self.shed_share(now, class)
    }

    /// Records the response to a request that passed, and whether it was useful. Requests whose caller disconnected
    /// are not recorded.
    pub(crate) fn record(&mut self, now: Duration, class: ThrottleClass<'_>, is_useful: bool) {
        if self.counts.len() > MAX_CLASSES {
            let is_kept = |count: &ClassCount| count.answered.value_at(now) > NEGLIGIBLE_COUNT;
            self.counts.retain(|_, count| is_kept(count));
        }
        let count = self.counts.entry((class.kind, class.urgency));
        let count = count.or_insert_with(|| ClassCount {
            service: class.service.clone(),
            answered: DecayingCount::default(),
            useful: DecayingCount::default(),
        });
        // The service of a class may change with the configuration.
        if count.service != *class.service {
            count.service = class.service.clone();
        }
        count.answered.add(now);
        if is_useful {
            count.useful.add(now);
        }
    }

    /// The share of requests of this class to refuse: the largest share among the class itself and more urgent
    /// classes of the same service, up to the maximum.
    pub(crate) fn shed_share(&self, now: Duration, class: ThrottleClass<'_>) -> f64 {
        let counts = self.counts.iter();
        let relevant = counts.filter(|((kind, urgency), count)| {
            let is_own = *kind == class.kind && *urgency == class.urgency;
            is_own || (*urgency < class.urgency && count.service == *class.service)
        });
        relevant
            .map(|(_, count)| count.shed_share(now))
            .fold(0.0, f64::max)
            .min(self.max_shed_share)
    }
}

impl ClassCount {
    fn shed_share(&self, now: Duration) -> f64 {
        let answered = self.answered.value_at(now);
        let tolerated = ANSWERED_PER_USEFUL * self.useful.value_at(now) + ALLOWANCE;
        ((answered - tolerated) / (answered + 1.0)).max(0.0)
    }
}

/// A count that decays by half in each half-life.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    count: f64,
    at: Duration,
}

impl DecayingCount {
    fn add(&mut self, now: Duration) {
        self.count = self.value_at(now) + 1.0;
        self.at = now;
    }

    fn value_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

#[cfg(test)]
mod tests;
