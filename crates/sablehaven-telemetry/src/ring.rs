//! A bounded ring of formatted log records.

use std::{
    collections::VecDeque,
    io::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Layout, layout::JsonLayout, record::Level, record::Record};

/// The capacity of the ring, in records. At about 300 bytes per record, the ring stays below 1 MB.
pub const RING_CAPACITY: usize = 2_000;

/// The minimum time between two dumps of the ring, so that a burst of errors cannot fill a disk.
const MIN_DUMP_INTERVAL: Duration = Duration::from_secs(5);

/// A bounded ring of log records, each of which is a JSON object. Clones share the same ring.
#[derive(Clone, Debug)]
pub struct LogRing {
    state: Arc<Mutex<RingState>>,
}

#[derive(Debug)]
struct RingState {
    role: String,
    records: VecDeque<Vec<u8>>,
    /// The number of records overwritten since the last dump.
    overwritten: u64,
    last_dump: Option<Instant>,
}

impl LogRing {
    /// Creates an empty ring for a process of the given role.
    pub fn new(role: &str) -> Self {
        let state = RingState {
            role: role.to_owned(),
            records: VecDeque::with_capacity(RING_CAPACITY),
            overwritten: 0,
            last_dump: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the records in the ring, oldest first, one per line.
    pub fn contents(&self) -> String {
        let state = self.lock();
        let mut text = String::new();
        for record in &state.records {
            text.push_str(&String::from_utf8_lossy(record));
            text.push('\n');
        }
        text
    }

    /// Writes the records to standard error and empties the ring. Does nothing if the last dump was only a few seconds
    /// ago.
    pub fn dump(&self, cause: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        let is_too_soon = state
            .last_dump
            .is_some_and(|last| now.duration_since(last) < MIN_DUMP_INTERVAL);
        if is_too_soon {
            return;
        }
        state.last_dump = Some(now);
        let records = std::mem::take(&mut state.records);
        let overwritten = std::mem::take(&mut state.overwritten);
        let role = state.role.clone();
        drop(state);
        write_records(&role, cause, overwritten, &records);
    }

    fn push(&self, record: Vec<u8>) {
        let mut state = self.lock();
        if state.records.len() == RING_CAPACITY {
            state.records.pop_front();
            state.overwritten += 1;
        }
        state.records.push_back(record);
    }

    fn lock(&self) -> MutexGuard<'_, RingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes records to standard error. Errors are ignored, because there is nowhere to report them.
fn write_records(role: &str, cause: &str, overwritten: u64, records: &VecDeque<Vec<u8>>) {
    let mut output = std::io::stderr().lock();
    let _ = writeln!(
        output,
        "# log ring of {role}: {cause} ({} records, {overwritten} older ones overwritten)",
        records.len()
    );
    for record in records {
        let _ = output.write_all(record);
        let _ = output.write_all(b"\n");
    }
    let _ = output.flush();
}

/// Appends log records to the ring, and dumps the ring on an error record.
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
