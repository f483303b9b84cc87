//! The relay's side towards control.

pub(crate) mod choice;
pub(crate) mod ledger;
pub(crate) mod link;
pub(crate) mod observations;
