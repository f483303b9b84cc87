//! Test doubles: back ends, callers and the platform list.
//!
//! They speak the product's HTTP interfaces against any deployment schema, so that a whole
//! deployment runs on one machine. Back ends hold no real index: a reply is synthesised from the
//! schema, and every item carries a mark of its shard, snapshot and request
//! ([`sablehaven_history::Mark`]), by which a checker recognises a mixed or foreign answer.

pub mod backend;
pub mod baseline;
pub mod caller;
pub mod clock;
pub mod crowd;
pub mod host;
mod listener;
pub mod methods;
pub mod platform;
pub mod replies;
pub mod routed;
