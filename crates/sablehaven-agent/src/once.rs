//! At-most-once requests.
//!
//! The agent claims a request in the ledger, checks that it may still be dispatched, dispatches it
//! once, and records the outcome in the ledger. The steps must run in this order: without a granted
//! claim, a dispatch could be the second one of the same request. The steps run in a separate task,
//! so that the outcome of a claim is recorded even if the caller disconnects.

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
