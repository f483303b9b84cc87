//! A steady clock that goes on while the machine is suspended.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

/// A steady clock that goes on while the machine is suspended, so that what held before is not taken to hold after.
pub trait SuspendAwareClock {
    /// The time since any fixed point.
    fn now(&self) -> Duration;
}

/// The system's clock of the time since its start, suspension included. Where the system has none, the steady time since
/// the start of the process.
#[derive(Debug)]
pub struct BootTimeClock {
    started_at: Instant,
    is_refused: AtomicBool,
}

impl Default for BootTimeClock {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            is_refused: AtomicBool::new(false),
        }
    }
}

impl SuspendAwareClock for BootTimeClock {
    fn now(&self) -> Duration {
        if !self.is_refused.load(Ordering::Relaxed) {
            match clock_gettime(ClockId::CLOCK_BOOTTIME) {
                Ok(time) => return time.into(),
                Err(error) => {
                    self.is_refused.store(true, Ordering::Relaxed);
                    log::warn!(
                        event = "no_suspension_clock", reason:% = error;
                        "read clock that counts suspension: ages are counted by steady time instead"
                    );
                }
            }
        }
        self.started_at.elapsed()
    }
}
