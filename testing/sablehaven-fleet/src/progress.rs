//! Progress of a run on standard error.

use std::time::Instant;

/// Shows what happens, with the time since the start.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    start: Instant,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Progress {
    /// Shows one step.
    pub fn show(&self, what: &str) {
        eprintln!("[{:6.1} s] {what}", self.start.elapsed().as_secs_f64());
    }
}
