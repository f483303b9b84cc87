//! What became of the servers that ran one request.

use std::cell::RefCell;

use sablehaven_types::{BackendId, RequestFingerprint};

/// The servers of one request's attempts; shared by its parts.
pub(crate) struct CrashWatch {
    fingerprint: RequestFingerprint,
    /// Servers whose connection ended while they had the request.
    lost: RefCell<Vec<BackendId>>,
}

impl CrashWatch {
    pub(crate) fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            lost: RefCell::default(),
        }
    }

    /// The connection of an attempt ended while its server had the request.
    pub(crate) fn lost(&self, server: &BackendId) {
        self.lost.borrow_mut().push(server.clone());
    }

    /// The fingerprint as log lines show it.
    pub(crate) fn fingerprint_text(&self) -> String {
        format!("{:016x}", self.fingerprint)
    }

    /// The servers whose connection ended while they had the request, for log lines.
    pub(crate) fn lost_text(&self) -> String {
        let lost = self.lost.borrow();
        let ids: Vec<&str> = lost.iter().map(BackendId::as_str).collect();
        ids.join(", ")
    }
}
