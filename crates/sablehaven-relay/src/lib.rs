//! Stateless distribution of committed state from control to agents.
