//! Control-facing side of the relay.

pub(crate) mod ledger;
pub(crate) mod link;
pub(crate) mod observations;
pub(crate) mod replica_selector;
