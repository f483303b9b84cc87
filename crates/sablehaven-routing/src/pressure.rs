//! Pressure and shed rate of a back end, as moving averages over replies and shed attempts.

use std::time::Duration;

/// Weight of a new sample; for the pressure, the smallest one.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the average where samples are rare. A back end that receives little work must
/// not appear overloaded long after it has recovered, or no work would return to it.
const SAMPLE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Age at which the weight of a load report has decayed to 1/e. Errors of reports of this age
/// average out over many samples; much older reports make the spill oscillate.
const REPORT_AGE_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Time after which an average without new samples has decayed to 1/e. A back end that sends no
/// replies is assumed to have spare capacity, so that work returns to it.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Pressure sample for a shed attempt: the queue is full and holds about twice as many requests as
/// there are slots.
const SHED_PRESSURE: f64 = 3.0;

/// Time after which the shed rate without new attempts has decayed to 1/e, so that a back end that
/// shed receives work again even if nothing else causes it.
const SHED_RATE_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Shed rate up to which a back end keeps its full share. Occasional shedding in an overloaded
/// service must not send all agents to the same other back ends.
const TOLERATED_SHED_RATE: f64 = 0.25;
/// Smallest fraction of its share that a shedding back end keeps.
const MIN_SHED_WEIGHT: f64 = 0.02;

/// Pressure of one back end: 1 means that all slots are busy and no request is queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    average: f64,
    shed_rate: f64,
    sampled_at: Duration,
}

impl Pressure {
    /// Records a reply. `load` is the number of requests at the back end, from a report of the
    /// given age, and is divided by its slots.
    pub fn record_reply(&mut self, now: Duration, load: f64, slots: u32, report_age: Duration) {
        let weight = (-report_age.as_secs_f64() / REPORT_AGE_TIME_CONSTANT.as_secs_f64()).exp();
        self.add_sample(now, load / f64::from(slots.max(1)), weight, 0.0);
    }

    /// Records that the back end shed an attempt.
    pub fn record_shed(&mut self, now: Duration) {
        self.add_sample(now, SHED_PRESSURE, 1.0, 1.0);
    }

    /// Returns the current pressure.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.average * (-age / PRESSURE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the fraction of its share that the back end keeps in view of its shed rate. It is
    /// the square of the fraction not shed, so that work moves to other back ends faster than it is
    /// shed.
    pub fn shed_weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let rate = self.shed_rate * (-age / SHED_RATE_TIME_CONSTANT.as_secs_f64()).exp();
        let excess = (rate - TOLERATED_SHED_RATE).max(0.0) / (1.0 - TOLERATED_SHED_RATE);
        (1.0 - excess).powi(2).max(MIN_SHED_WEIGHT)
    }

    fn add_sample(&mut self, now: Duration, sample: f64, weight: f64, shed_sample: f64) {
        let gap = now.saturating_sub(self.sampled_at).as_secs_f64();
        let gap_weight = 1.0 - (-gap / SAMPLE_TIME_CONSTANT.as_secs_f64()).exp();
        self.average += SAMPLE_WEIGHT.max(gap_weight) * weight * (sample - self.average);
        self.shed_rate += SAMPLE_WEIGHT * (shed_sample - self.shed_rate);
        self.sampled_at = now;
    }
}
