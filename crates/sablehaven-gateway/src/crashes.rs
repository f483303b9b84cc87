//! Detects requests that crash their servers. A suspect request is sent to one server at a time and is quarantined if
//! servers keep crashing.
//!
//! [`sablehaven_routing::crash_table`] stores what is known about these requests. The modules here apply it to the
//! parts of one request.
//!
//! - `fingerprint`: identifies requests with the same content by a hash.
//! - `watch`: tracks the attempts of one request and decides which of its parts may send.

mod fingerprint;
mod watch;

use sablehaven_routing::crash_table::Quarantine;
use sablehaven_types::fingerprint_text;

pub(crate) use fingerprint::fingerprint;
pub(crate) use watch::{CrashWatch, SendDecision, Trial, WaiterGuard};

/// Logs the start of a quarantine, if there is one. `learned_from` names who reported the last crash.
pub(crate) fn log_quarantine(quarantine: Option<Quarantine>, learned_from: &str) {
    let Some(Quarantine { report, duration }) = quarantine else {
        return;
    };
    log::warn!(
        event = "request_quarantined", target:% = fingerprint_text(report.fingerprint),
        lost = report.lost, crashes = report.crashes, for_s = duration.as_secs(), learned_from = learned_from;
        "request quarantined because servers crash when they run it"
    );
}
