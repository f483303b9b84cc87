//! Seeded simulation of the consensus group, ledger, configuration and leases.
