//! Load estimates for back ends, and the cost of sending a request to one.
//!
//! The agent knows its own requests in flight exactly and always counts them in full. Load reports
//! in replies cover the requests of other agents, but they are delayed and can be wrong. The weight
//! of a report therefore decays with its age, and the average over all back ends takes the
//! remaining weight. Response times, which the agent measures itself, compensate for reports that
//! are clearly wrong.

use std::time::Duration;

use crate::interface::LoadReport;

/// Age at which the weight of a load report has decayed to 1/e.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(5);
/// Age at which the weight of the response time has decayed to 1/e.
const RESPONSE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Weight of a new sample in the moving average of the response time.
const RESPONSE_SAMPLE_WEIGHT: f64 = 0.1;
/// Upper bound of a response time sample, as a multiple of the average, so that a single straggler
/// from a healthy server does not divert traffic from it.
const MAX_RESPONSE_TO_AVERAGE: f64 = 5.0;
/// Upper bound of a reported load, as a multiple of one request more than the average over back
/// ends.
const MAX_REPORT_TO_AVERAGE: f64 = 4.0;
/// Weight of a new report in the moving average over all back ends.
const AVERAGE_SAMPLE_WEIGHT: f64 = 0.02;
/// Ratio of response time to the average up to which a back end is treated as average. Smaller
/// differences are noise, and acting on them would send all agents to the same back end.
const TOLERATED_RESPONSE_RATIO: f64 = 1.5;
/// Largest factor by which a slow response time multiplies the cost.
const MAX_RESPONSE_FACTOR: f64 = 6.0;

fn decayed_weight(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Average over all back ends of a service of the load that other agents cause.
#[derive(Clone, Debug, Default)]
pub struct AverageLoad {
    other_agents_load: f64,
}

impl AverageLoad {
    /// Returns the number of other agents' requests at an average back end.
    pub fn other_agents_load(&self) -> f64 {
        self.other_agents_load
    }
}

/// Load that other agents cause at one back end.
#[derive(Clone, Debug, Default)]
pub struct ReportedLoad {
    other_agents_load: f64,
    arrived_at: Option<Duration>,
    age_on_arrival: Duration,
}

impl ReportedLoad {
    /// Applies a report that arrived now. `own_in_flight` requests of this agent, which the report
    /// includes, are subtracted.
    pub fn record(
        &mut self,
        now: Duration,
        report: LoadReport,
        own_in_flight: u32,
        average: &mut AverageLoad,
    ) {
        let other_agents_load = f64::from(report.running_and_queued.saturating_sub(own_in_flight));
        let capped =
            other_agents_load.min(MAX_REPORT_TO_AVERAGE * (average.other_agents_load + 1.0));
        average.other_agents_load += AVERAGE_SAMPLE_WEIGHT * (capped - average.other_agents_load);
        self.other_agents_load = capped;
        self.arrived_at = Some(now);
        self.age_on_arrival = report.age;
    }

    /// Estimates the number of other agents' requests at the back end.
    pub fn estimate(&self, now: Duration, average: &AverageLoad) -> f64 {
        let Some(arrived_at) = self.arrived_at else {
            return average.other_agents_load;
        };
        let age = self.age_on_arrival + now.saturating_sub(arrived_at);
        let weight = decayed_weight(age, REPORT_TIME_CONSTANT);
        weight * self.other_agents_load + (1.0 - weight) * average.other_agents_load
    }
}

/// Exponential moving average of a response time.
#[derive(Clone, Debug, Default)]
pub struct ResponseTime {
    seconds: f64,
    recorded_at: Duration,
}

impl ResponseTime {
    /// Adds the latency of one attempt. `average_seconds` is the average over the back ends at
    /// the same distance.
    pub fn record(&mut self, now: Duration, latency: Duration, average_seconds: f64) {
        let max_sample = if average_seconds > 0.0 {
            average_seconds * MAX_RESPONSE_TO_AVERAGE
        } else {
            f64::MAX
        };
        let sample = latency.as_secs_f64().min(max_sample);
        if self.seconds == 0.0 {
            self.seconds = sample;
        } else {
            self.seconds += RESPONSE_SAMPLE_WEIGHT * (sample - self.seconds);
        }
        self.recorded_at = now;
    }

    /// Returns the average in seconds, or 0 before the first attempt.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns the factor by which the cost rises because the back end is much slower than
    /// `average_seconds`. It is 1 where either time is unknown.
    pub fn factor(&self, now: Duration, average_seconds: f64) -> f64 {
        if self.seconds == 0.0 || average_seconds <= 0.0 {
            return 1.0;
        }
        let ratio = (self.seconds / average_seconds / TOLERATED_RESPONSE_RATIO)
            .clamp(1.0, MAX_RESPONSE_FACTOR);
        let weight = decayed_weight(now.saturating_sub(self.recorded_at), RESPONSE_TIME_CONSTANT);
        1.0 + weight * (ratio - 1.0)
    }
}

/// Cost of sending one more request to a back end; lower is better. It has no unit.
///
/// During slow start the existing load costs more, because a cold back end has less capacity. The
/// cost of an idle cold back end is not raised, since it would then never be chosen over another
/// idle one; its weight in the random draw limits how often it is a candidate.
pub fn cost(load: f64, response_factor: f64, slow_start_weight: f64) -> f64 {
    (load / slow_start_weight + 1.0) * response_factor
}
