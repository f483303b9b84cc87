//! Logs the entries of the platform's lists that are rejected.

use std::collections::BTreeSet;

use super::RejectedEntry;

/// Maximum number of entries that are logged for one reading. The others are only counted.
const MAX_LOGGED_ENTRIES: usize = 8;
/// Maximum length of an entry's id in the log, in characters. Another party has written it.
const MAX_LOGGED_ID_CHARS: usize = 64;
/// Maximum length of a reason in the log, in characters. It may quote the entry.
const MAX_LOGGED_REASON_CHARS: usize = 200;

/// Logs each rejected entry once for as long as readings contain it. The reason is not compared: an entry that is
/// rejected for another spelling of the same field is not logged again.
#[derive(Debug)]
pub(super) struct RejectedEntryLog {
    /// What the list names.
    list: &'static str,
    known: BTreeSet<(Option<String>, &'static str)>,
    count: usize,
}

impl RejectedEntryLog {
    pub(super) fn new(list: &'static str) -> Self {
        Self {
            list,
            known: BTreeSet::new(),
            count: 0,
        }
    }

    /// Logs the entries that the last reading did not contain, and the number of all if it has changed.
    pub(super) fn record(&mut self, rejected: &[RejectedEntry]) {
        let key = |entry: &RejectedEntry| (entry.id.clone(), entry.kind);
        let is_new = |entry: &&RejectedEntry| !self.known.contains(&key(entry));
        for entry in rejected.iter().filter(is_new).take(MAX_LOGGED_ENTRIES) {
            log_rejected(self.list, entry);
        }
        self.known = rejected.iter().map(key).collect();
        let former = std::mem::replace(&mut self.count, rejected.len());
        if former != rejected.len() {
            log::warn!(
                event = "rejected_entries", list = self.list, entries = rejected.len(), former = former;
                "the number of rejected entries in a list has changed"
            );
        }
    }
}

fn log_rejected(list: &str, entry: &RejectedEntry) {
    let id = entry.id.as_deref().unwrap_or_default();
    let id: String = id.chars().take(MAX_LOGGED_ID_CHARS).collect();
    let reason: String = entry.reason.chars().take(MAX_LOGGED_REASON_CHARS).collect();
    log::warn!(
        event = "rejected_entry", list = list, id = id.as_str(), kind = entry.kind,
        reason = reason.as_str();
        "an entry of a list is rejected"
    );
}
