//! Structured logs on standard output: one JSON line a record, bounded, never blocking.

use std::{
    io::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, Instant},
};

use logforth::{
    Append, Diagnostic, Layout,
    layout::JsonLayout,
    record::{Level, LevelFilter, Record},
};

use crate::TelemetryError;

/// Lines that may wait for the writer; more are dropped and counted.
const QUEUED_LINES: usize = 512;
/// Lines that may be written in a row after a quiet time.
const BURST_LINES: f64 = 200.0;
/// Lines a second beyond that; more are dropped and counted.
const LINES_PER_SECOND: f64 = 50.0;

/// Longest time for the lines under way when a process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(50);

/// Sends this process's log records to standard output, through a bounded queue and a writer of its
/// own: a reader that stops reading slows nothing. What is dropped is counted, and the count logged.
///
/// # Errors
/// [`TelemetryError::LoggerInstalled`] where another logger is installed,
/// [`TelemetryError::WriterThread`] where the writer cannot be started.
pub fn install_line_logger() -> Result<(), TelemetryError> {
    let (lines, queue) = sync_channel(QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let append = LineAppend {
        lines,
        dropped: Arc::clone(&dropped),
        allowance: Mutex::new(Allowance::new()),
        layout: JsonLayout::default(),
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue, &dropped))
        .map_err(|source| TelemetryError::WriterThread { source })?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(append)
        })
        .try_apply()
        .map_err(|_| TelemetryError::LoggerInstalled)
}

#[derive(Debug)]
struct LineAppend {
    lines: SyncSender<Work>,
    dropped: Arc<AtomicU64>,
    allowance: Mutex<Allowance>,
    layout: JsonLayout,
}

/// What the writer is given.
#[derive(Debug)]
enum Work {
    Line(Vec<u8>),
    /// Answered when everything before it is written.
    Flush(SyncSender<()>),
}

/// Lines that may still be written.
#[derive(Debug)]
struct Allowance {
    lines: f64,
    at: Instant,
}

impl Allowance {
    fn new() -> Self {
        Self {
            lines: BURST_LINES,
            at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at);
        self.at = now;
        let earned = elapsed.as_secs_f64() * LINES_PER_SECOND;
        self.lines = (self.lines + earned).min(BURST_LINES);
        if self.lines < 1.0 {
            return false;
        }
        self.lines -= 1.0;
        true
    }
}

impl Append for LineAppend {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let is_allowed = {
            let mut allowance = self
                .allowance
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            allowance.take(Instant::now())
        };
        // Before anything is formatted: what is dropped must cost nothing.
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.lines.try_send(Work::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Work::Flush(done)).is_ok() {
            // A reader that has stopped reading holds nobody up for longer.
            let _ = written.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

/// A failed write to standard output has nowhere to be reported, so its result is dropped.
fn write_lines(queue: &Receiver<Work>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(work) = queue.recv() {
        let mut line = match work {
            Work::Line(line) => line,
            Work::Flush(done) => {
                let _ = done.send(());
                continue;
            }
        };
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            line.extend_from_slice(
                format!("{{\"event\":\"log_lines_dropped\",\"lines\":{lost}}}\n").as_bytes(),
            );
        }
        let _ = output.write_all(&line);
        let _ = output.flush();
    }
}

#[cfg(test)]
mod tests;
