//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let line = line.into();
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.now(), line));
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:8.3} s  {line}\n"))
            .collect();
        std::fs::write(path, text)
    }
}
