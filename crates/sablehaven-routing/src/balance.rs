//! The load of one back end as the agent estimates it, and the cost of sending to it.
//!
//! The agent's own requests in flight are known exactly and always counted. Reports carried by
//! replies tell of other agents' requests, but they lag and mislead, so a report counts less the
//! older it is, and what is left comes from the average over all back ends. Response times, measured
//! by the agent itself, correct for reports that are plainly wrong.

use std::time::Duration;

use crate::interface::LoadReport;

/// Age at which a load report counts for 1/e of a fresh one.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(5);
/// Age at which a response time counts for 1/e of a fresh one.
const RESPONSE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Weight of one new response time in the running average.
const RESPONSE_WEIGHT: f64 = 0.1;
/// A response time counts for at most this many times the average, so that one straggler of a
/// healthy server does not turn the traffic away.
const RESPONSE_CAP: f64 = 5.0;
/// A report counts for at most this many times the average over back ends, plus one.
const REPORT_CAP: f64 = 4.0;
/// Weight of one new report in the average over all back ends.
const AVERAGE_WEIGHT: f64 = 0.02;
/// Response time relative to the average up to which a back end counts as one like the others: small
/// differences are noise, and following them turns all agents to the same back end.
const USUAL_RESPONSE: f64 = 1.5;
/// Greatest factor by which a slow back end costs more.
const MAX_RESPONSE_FACTOR: f64 = 6.0;

fn aged_weight(age: Duration, constant: Duration) -> f64 {
    (-age.as_secs_f64() / constant.as_secs_f64()).exp()
}

/// Averages over all back ends of one service, against which a single one is compared.
#[derive(Clone, Debug, Default)]
pub struct ServiceAverage {
    others: f64,
}

impl ServiceAverage {
    /// Other agents' requests at an average back end.
    pub fn others(&self) -> f64 {
        self.others
    }
}

/// The load that other agents put on one back end.
#[derive(Clone, Debug, Default)]
pub struct ReportedLoad {
    others: f64,
    arrived_at: Option<Duration>,
    age_on_arrival: Duration,
}

impl ReportedLoad {
    /// Takes in a report that arrived now, when `own` requests of this agent were in flight.
    pub fn record(
        &mut self,
        now: Duration,
        report: LoadReport,
        own: u32,
        average: &mut ServiceAverage,
    ) {
        let others = f64::from(report.running_and_queued.saturating_sub(own));
        let capped = others.min(REPORT_CAP * (average.others + 1.0));
        average.others += AVERAGE_WEIGHT * (capped - average.others);
        self.others = capped;
        self.arrived_at = Some(now);
        self.age_on_arrival = report.age;
    }

    /// Other agents' requests at the back end, as far as known.
    pub fn estimate(&self, now: Duration, average: &ServiceAverage) -> f64 {
        let Some(arrived_at) = self.arrived_at else {
            return average.others;
        };
        let age = self.age_on_arrival + now.saturating_sub(arrived_at);
        let weight = aged_weight(age, REPORT_TIME_CONSTANT);
        weight * self.others + (1.0 - weight) * average.others
    }
}

/// The running average of a response time, in seconds.
#[derive(Clone, Debug, Default)]
pub struct ResponseTime {
    seconds: f64,
    recorded_at: Duration,
}

impl ResponseTime {
    /// Takes in the time of one attempt; `average` is that of the back ends at the same distance.
    pub fn record(&mut self, now: Duration, latency: Duration, average: f64) {
        let cap = if average > 0.0 {
            average * RESPONSE_CAP
        } else {
            f64::MAX
        };
        let sample = latency.as_secs_f64().min(cap);
        if self.seconds == 0.0 {
            self.seconds = sample;
        } else {
            self.seconds += RESPONSE_WEIGHT * (sample - self.seconds);
        }
        self.recorded_at = now;
    }

    /// The average, in seconds; 0 before the first attempt.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// The factor by which the back end costs more, because it is slower than `average` by far; 1
    /// where one of the times is not known.
    pub fn factor(&self, now: Duration, average: f64) -> f64 {
        if self.seconds == 0.0 || average <= 0.0 {
            return 1.0;
        }
        let ratio = (self.seconds / average / USUAL_RESPONSE).clamp(1.0, MAX_RESPONSE_FACTOR);
        let weight = aged_weight(now.saturating_sub(self.recorded_at), RESPONSE_TIME_CONSTANT);
        1.0 + weight * (ratio - 1.0)
    }
}

/// What sending one more request to a back end costs; lower is better, no unit.
///
/// A cold back end has less room for what it holds already. Its empty room is not made to cost more,
/// or it would never be chosen beside another empty one: how often it takes part is for the draw.
pub fn cost(load: f64, response_factor: f64, slow_start_weight: f64) -> f64 {
    (load / slow_start_weight + 1.0) * response_factor
}
