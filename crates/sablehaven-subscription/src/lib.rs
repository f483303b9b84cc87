//! An agent's connection to the relays: configuration view, lease and ledger calls.
