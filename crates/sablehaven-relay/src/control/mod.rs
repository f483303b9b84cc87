//! Control-facing side of the relay.

pub(crate) mod choice;
pub(crate) mod ledger;
pub(crate) mod link;
pub(crate) mod observations;
