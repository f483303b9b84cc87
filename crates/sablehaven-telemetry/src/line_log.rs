//! Structured logs on standard output: one line of JSON per record. The rate is limited, and logging never blocks the
//! caller on the output.

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

/// The capacity of the queue to the writer thread, in lines. Lines that do not fit are dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 512;
/// The burst of the rate limit: the number of lines that may be written at once after a period without logs.
const BURST_LINES: f64 = 200.0;
/// The sustained rate limit. Lines above it are dropped and counted.
const LINES_PER_SECOND: f64 = 50.0;

/// The longest time to wait at the end of the process until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Writes this process's log records to standard output. A bounded queue passes them to a writer thread, so that a
/// reader that stops reading does not slow down the process. Dropped lines are counted, and the count is logged.
///
/// # Errors
/// Returns [`TelemetryError::LoggerInstalled`] if another logger is already installed, and
/// [`TelemetryError::WriterThread`] if the writer thread cannot be started.
pub fn install_line_logger() -> Result<(), TelemetryError> {
    let (queue, messages) = sync_channel(QUEUE_CAPACITY_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let append = LineAppend {
        queue,
        dropped: Arc::clone(&dropped),
        rate_limiter: Mutex::new(RateLimiter::new()),
        layout: JsonLayout::default(),
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&messages, &dropped))
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

/// Formats log records and queues the lines for the writer thread.
#[derive(Debug)]
struct LineAppend {
    queue: SyncSender<WriterMessage>,
    /// The number of lines dropped since the count was last logged.
    dropped: Arc<AtomicU64>,
    rate_limiter: Mutex<RateLimiter>,
    layout: JsonLayout,
}

/// A message to the writer thread.
#[derive(Debug)]
enum WriterMessage {
    Line(Vec<u8>),
    /// Acknowledged through the sender when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// A token bucket, in which each line takes one token.
#[derive(Debug)]
struct RateLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    fn new() -> Self {
        Self {
            tokens: BURST_LINES,
            refilled_at: Instant::now(),
        }
    }

    /// Returns whether a line may be written now, and takes a token if so.
    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refill = elapsed.as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
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
            let mut rate_limiter = self
                .rate_limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            rate_limiter.try_acquire(Instant::now())
        };
        // Checked before formatting, so that dropped records cost almost nothing.
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.queue.try_send(WriterMessage::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        let (done, flushed) = sync_channel(1);
        if self.queue.try_send(WriterMessage::Flush(done)).is_ok() {
            // The timeout ensures that a reader that has stopped reading cannot block the end of the process.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// The loop of the writer thread. Errors of writing to standard output are ignored, because there is nowhere to report
/// them.
fn write_lines(messages: &Receiver<WriterMessage>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(message) = messages.recv() {
        let mut line = match message {
            WriterMessage::Line(line) => line,
            WriterMessage::Flush(done) => {
                let _ = done.send(());
                continue;
            }
        };
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            line.extend_from_slice(
                format!("{{\"event\":\"log_lines_dropped\",\"lines\":{dropped_lines}}}\n")
                    .as_bytes(),
            );
        }
        let _ = output.write_all(&line);
        let _ = output.flush();
    }
}

#[cfg(test)]
mod tests;
