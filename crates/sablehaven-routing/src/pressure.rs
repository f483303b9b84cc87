//! How pressed a back end is, and how much it sheds, as running averages over replies and sheds.

use std::time::Duration;

/// Least weight of one new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the average where samples are rare: a back end that gets little work must not
/// look pressed for long after it no longer is, or the work never finds its way back.
const SAMPLE_CONSTANT: Duration = Duration::from_secs(2);
/// Age at which a load report counts for 1/e of a fresh one. Many samples average out what a report
/// of this age gets wrong; much older ones make the spill swing.
const REPORT_AGE_CONSTANT: Duration = Duration::from_millis(200);
/// Time after which an average without new samples has lost all but 1/e of its value: a back end of
/// which nothing is heard is taken to have room, so that work finds its way back to it.
const AGE_CONSTANT: Duration = Duration::from_secs(3);
/// Sample of a shed: the queue is full, at about twice the slots beyond those that run.
const SHED_PRESSURE: f64 = 3.0;

/// Time after which a shed rate without new attempts has lost all but 1/e of its value: a back end
/// that shed gets work again, even if nothing else brings it back.
const SHED_RATE_CONSTANT: Duration = Duration::from_secs(10);
/// Shed rate up to which a back end keeps its share: what a pressed service sheds here and there
/// must not turn all agents to the same other back ends.
const USUAL_SHED_RATE: f64 = 0.25;
/// Least part of its share that a back end keeps while it sheds.
const MIN_SHED_WEIGHT: f64 = 0.02;

/// The pressure of one back end: 1 means that all slots are busy and nothing waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    average: f64,
    shed_rate: f64,
    sampled_at: Duration,
}

impl Pressure {
    /// Takes in the load of a back end that replied, in requests, against its slots; the load is
    /// known from a report of this age.
    pub fn replied(&mut self, now: Duration, load: f64, slots: u32, report_age: Duration) {
        let weight = (-report_age.as_secs_f64() / REPORT_AGE_CONSTANT.as_secs_f64()).exp();
        self.sample(now, load / f64::from(slots.max(1)), weight, 0.0);
    }

    /// Takes in that the back end shed an attempt.
    pub fn shed(&mut self, now: Duration) {
        self.sample(now, SHED_PRESSURE, 1.0, 1.0);
    }

    /// The pressure now.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.average * (-age / AGE_CONSTANT.as_secs_f64()).exp()
    }

    /// The part of its share that the back end keeps, because of what it shed lately: the square of
    /// what it does not shed, so that work moves to others faster than it is shed.
    pub fn shed_weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let rate = self.shed_rate * (-age / SHED_RATE_CONSTANT.as_secs_f64()).exp();
        let excess = (rate - USUAL_SHED_RATE).max(0.0) / (1.0 - USUAL_SHED_RATE);
        (1.0 - excess).powi(2).max(MIN_SHED_WEIGHT)
    }

    fn sample(&mut self, now: Duration, sample: f64, weight: f64, shed: f64) {
        let gap = now.saturating_sub(self.sampled_at).as_secs_f64();
        let gap_weight = 1.0 - (-gap / SAMPLE_CONSTANT.as_secs_f64()).exp();
        self.average += SAMPLE_WEIGHT.max(gap_weight) * weight * (sample - self.average);
        self.shed_rate += SAMPLE_WEIGHT * (shed - self.shed_rate);
        self.sampled_at = now;
    }
}
