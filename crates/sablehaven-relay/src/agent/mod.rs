//! Agent-facing side of the relay.

pub(crate) mod directory;
pub(crate) mod hints;
pub(crate) mod session;
