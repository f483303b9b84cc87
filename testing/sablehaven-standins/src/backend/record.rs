//! The log of every request that reached the back ends of one process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sablehaven_history::ExecutionRecord;

/// Executions in the order in which they ended; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    records: Arc<Mutex<Vec<ExecutionRecord>>>,
}

impl ExecutionLog {
    /// Adds a record.
    pub(crate) fn push(&self, record: ExecutionRecord) {
        self.lock().push(record);
    }

    /// Copies of the records from position `from`, at most `limit` of them.
    pub fn page(&self, from: usize, limit: usize) -> Vec<ExecutionRecord> {
        let records = self.lock();
        records.iter().skip(from).take(limit).cloned().collect()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no record yet.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ExecutionRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
