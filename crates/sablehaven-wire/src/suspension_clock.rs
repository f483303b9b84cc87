//! Monotonic clocks that keep running while the machine is suspended.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that keeps running while the machine is suspended, so that what was valid before a suspension is
/// not assumed to be still valid after it.
pub trait SuspendAwareClock {
    /// Returns the time since an arbitrary fixed point.
    fn now(&self) -> Duration;
}

/// The time since the system was booted, including the time spent suspended (`CLOCK_BOOTTIME`). If the system has no
/// such clock, the monotonic time since this value was created.
#[derive(Debug)]
pub struct BootTimeClock {
    started_at: Instant,
    is_unsupported: AtomicBool,
}

impl Default for BootTimeClock {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            is_unsupported: AtomicBool::new(false),
        }
    }
}

impl SuspendAwareClock for BootTimeClock {
    fn now(&self) -> Duration {
        if !self.is_unsupported.load(Ordering::Relaxed) {
            match clock_gettime(ClockId::CLOCK_BOOTTIME) {
                Ok(time) => return time.into(),
                Err(error) => {
                    self.is_unsupported.store(true, Ordering::Relaxed);
                    log::warn!(
                        event = "no_suspension_clock", reason:% = error;
                        "cannot read CLOCK_BOOTTIME; measured ages do not include time spent suspended"
                    );
                }
            }
        }
        self.started_at.elapsed()
    }
}
