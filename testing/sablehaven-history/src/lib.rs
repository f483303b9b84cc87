//! Recorded histories of runs and a checker for each promise.
//!
//! A run records [`Event`]s: what callers asked and were told, what back ends truly ran, what
//! operators sent and what came back, which configuration answers were made under, and which
//! faults were brought about. [`check`] decides from these alone whether each promise was kept;
//! it never asks the system under test.

mod checkers;
mod event;
mod journal;
mod mark;
mod promise;

pub use checkers::{Limits, check};
pub use event::{
    BackendNotice, BackendNoticeKind, CallAnswer, CallKind, CallRecord, CallResult, Event,
    ExecutionEnd, ExecutionRecord, FaultRecord, HistoryReading, MicrosecondsSinceEpoch,
    OperatorCall, OperatorResult, ProcessStop, PublishedSnapshot,
};
pub use journal::{History, JournalError, Recorder};
pub use mark::{Mark, MarkError};
pub use promise::{CheckResult, Promise, Report, Violation};
