//! Configuration, membership and request ledger state machines and the server that replicates them.
