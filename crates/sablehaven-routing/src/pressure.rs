//! How pressed a back end is, as a running average over replies and sheds.

use std::time::Duration;

/// Weight of one new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time after which an average without new samples has lost all but 1/e of its value: a back end of
/// which nothing is heard is taken to have room, so that work finds its way back to it.
const AGE_CONSTANT: Duration = Duration::from_secs(3);
/// Sample of a shed: the queue is full, at about twice the slots beyond those that run.
const SHED_PRESSURE: f64 = 3.0;

/// The pressure of one back end: 1 means that all slots are busy and nothing waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    average: f64,
    sampled_at: Duration,
}

impl Pressure {
    /// Takes in the load of a back end that replied, in requests, against its slots.
    pub fn replied(&mut self, now: Duration, load: f64, slots: u32) {
        self.sample(now, load / f64::from(slots.max(1)));
    }

    /// Takes in that the back end shed an attempt.
    pub fn shed(&mut self, now: Duration) {
        self.sample(now, SHED_PRESSURE);
    }

    /// The pressure now.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.average * (-age / AGE_CONSTANT.as_secs_f64()).exp()
    }

    fn sample(&mut self, now: Duration, sample: f64) {
        self.average += SAMPLE_WEIGHT * (sample - self.average);
        self.sampled_at = now;
    }
}
