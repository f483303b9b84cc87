//! Requests that may not be repeated.
//!
//! A request is claimed in the ledger before its only dispatch, and its outcome is recorded after
//! it. The order claim, check, dispatch, record must hold: a dispatch without a granted claim could
//! be the second one. The flow runs in a task of its own, so that a caller who goes away does not
//! leave a claim without an outcome.

mod decision;
mod dispatch;
mod fingerprint;
mod flow;
mod key;
mod ledger;
mod responder;

pub use decision::{
    ClaimDecision, ClockReading, DispatchCheck, DispatchDecision, after_claim, after_dispatch,
};
pub use fingerprint::fingerprint;
pub use flow::{OnceEnvironment, OnceRequest};
pub use key::{OnceHeaders, is_resend};
