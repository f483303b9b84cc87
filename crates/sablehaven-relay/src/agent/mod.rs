//! The relay's side towards agents.

pub(crate) mod directory;
pub(crate) mod hints;
pub(crate) mod session;
