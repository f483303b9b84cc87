//! Requests that take their servers down: noticed, tried with one server at a time, and quarantined.
//!
//! A request whose servers end one after another (a "query of death", Site Reliability Engineering, 2016,
//! chapter 22) must not be retried as if its servers had failed by themselves: it would end every server of its service.
//!
//! - `fingerprint`: what a request asks for, in one number.
//! - `watch`: what became of the servers of one request, and which of its parts may send.
//! - `table`: what is known of all such requests, at this gateway and at others.
//!
//! A few connections lost without any answer make a request suspect: it has one attempt at a time, and any server's
//! answer clears it. Crashes under single attempts quarantine it: no server gets it for a while.

mod fingerprint;
mod table;
mod watch;

pub(crate) use fingerprint::fingerprint;
pub(crate) use table::{CrashTable, Standing};
pub(crate) use watch::{CrashWatch, Trial, Turn, WaitingPlace};
