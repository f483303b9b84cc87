//! A bounded ring of formatted log records.

use std::{
    collections::VecDeque,
    io::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Layout, layout::JsonLayout, record::Level, record::Record};

/// Records that the ring holds; at about 300 bytes a record the ring stays below 1 MB.
pub const RING_CAPACITY: usize = 2_000;

/// Least time between two writes of the ring, so that a storm of errors cannot fill a disk.
const MINIMUM_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// A shared, bounded ring of log records in JSON, one object a record.
#[derive(Clone, Debug)]
pub struct LogRing {
    shared: Arc<Mutex<RingState>>,
}

#[derive(Debug)]
struct RingState {
    role: String,
    records: VecDeque<Vec<u8>>,
    dropped: u64,
    last_write: Option<Instant>,
}

impl LogRing {
    /// An empty ring for a process of the given role.
    pub fn new(role: &str) -> Self {
        let state = RingState {
            role: role.to_owned(),
            records: VecDeque::with_capacity(RING_CAPACITY),
            dropped: 0,
            last_write: None,
        };
        Self {
            shared: Arc::new(Mutex::new(state)),
        }
    }

    /// The records held now, oldest first, one a line.
    pub fn contents(&self) -> String {
        let state = self.lock();
        let mut text = String::new();
        for record in &state.records {
            text.push_str(&String::from_utf8_lossy(record));
            text.push('\n');
        }
        text
    }

    /// Writes the ring to standard error and empties it, unless that was done a moment ago.
    pub fn dump(&self, cause: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        let too_soon = state
            .last_write
            .is_some_and(|last| now.duration_since(last) < MINIMUM_WRITE_INTERVAL);
        if too_soon {
            return;
        }
        state.last_write = Some(now);
        let records = std::mem::take(&mut state.records);
        let dropped = std::mem::take(&mut state.dropped);
        let role = state.role.clone();
        drop(state);
        write_records(&role, cause, dropped, &records);
    }

    fn push(&self, record: Vec<u8>) {
        let mut state = self.lock();
        if state.records.len() == RING_CAPACITY {
            state.records.pop_front();
            state.dropped += 1;
        }
        state.records.push_back(record);
    }

    fn lock(&self) -> MutexGuard<'_, RingState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A failed write to standard error has nowhere to be reported, so its result is dropped.
fn write_records(role: &str, cause: &str, dropped: u64, records: &VecDeque<Vec<u8>>) {
    let mut output = std::io::stderr().lock();
    let _ = writeln!(
        output,
        "# log ring of {role}: {cause} ({} records, {dropped} older ones overwritten)",
        records.len()
    );
    for record in records {
        let _ = output.write_all(record);
        let _ = output.write_all(b"\n");
    }
    let _ = output.flush();
}

/// Puts records into the ring and writes it out on an error record.
#[derive(Debug)]
pub(crate) struct RingAppend {
    ring: LogRing,
    layout: JsonLayout,
}

impl RingAppend {
    pub(crate) fn new(ring: LogRing) -> Self {
        Self {
            ring,
            layout: JsonLayout::default(),
        }
    }
}

impl Append for RingAppend {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let formatted = self.layout.format(record, diagnostics)?;
        self.ring.push(formatted);
        if record.level() >= Level::Error {
            self.ring.dump("an error was logged");
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}
