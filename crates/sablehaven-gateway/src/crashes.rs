//! Requests that take their servers down: noticed, tried with one server at a time, and quarantined.
//!
//! What is known of them is in [`sablehaven_routing::crash_table`]; this is what one request's parts do by it.
//!
//! - `fingerprint`: what a request asks for, in one number.
//! - `watch`: what became of the servers of one request, and which of its parts may send.

mod fingerprint;
mod watch;

use sablehaven_routing::crash_table::Quarantine;
use sablehaven_types::fingerprint_text;

pub(crate) use fingerprint::fingerprint;
pub(crate) use watch::{CrashWatch, SendDecision, Trial, WaiterGuard};

/// A line about a quarantine that has just begun, if one has. `learned_from` says who saw the last crash.
pub(crate) fn log_quarantine(begun: Option<Quarantine>, learned_from: &str) {
    let Some(Quarantine { report, duration }) = begun else {
        return;
    };
    log::warn!(
        event = "request_quarantined", target:% = fingerprint_text(report.fingerprint),
        lost = report.lost, crashes = report.crashes, for_s = duration.as_secs(), learned_from = learned_from;
        "servers end when they run this request"
    );
}
