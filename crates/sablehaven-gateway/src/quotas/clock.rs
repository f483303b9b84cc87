//! The clock by which tokens age.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

/// A steady clock that goes on while the machine is suspended, so that tokens from before are not spent after.
pub(crate) trait AgeClock {
    /// The time since any fixed point.
    fn now(&self) -> Duration;
}

/// The system's clock of the time since its start, suspension included. Where the system has none, the steady time since
/// the start of the process.
#[derive(Debug)]
pub(crate) struct SuspensionClock {
    started_at: Instant,
    is_refused: Cell<bool>,
}

impl Default for SuspensionClock {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            is_refused: Cell::new(false),
        }
    }
}

impl AgeClock for SuspensionClock {
    fn now(&self) -> Duration {
        if !self.is_refused.get() {
            match clock_gettime(ClockId::CLOCK_BOOTTIME) {
                Ok(time) => return time.into(),
                Err(error) => {
                    self.is_refused.set(true);
                    log::warn!(
                        event = "no_suspension_clock", reason:% = error;
                        "read clock that counts suspension: tokens age by steady time instead"
                    );
                }
            }
        }
        self.started_at.elapsed()
    }
}
