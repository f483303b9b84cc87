//! Enforces tenants' request quotas across many gateways. This crate only makes decisions: the caller supplies the time
//! and transports the messages.
//!
//! Every tenant's token bucket is divided into equal parts. Each control replica holds one part ([`QuotaPart`]),
//! whether or not it is the leader. A gateway requests a token from the nearest replica before it sends a request to
//! servers, and caches a few more tokens for tenants with frequent requests ([`TokenCache`]). A replica whose part has
//! run out requests a loan from other replicas. Nothing here is durable: a replica starts with an empty part, so that
//! no token is granted again after a restart.

mod allowance;
mod bucket;
mod demand;
mod fair_share;
mod loan;
mod part;
mod tenant_part;
mod token_cache;

pub use part::{QuotaPart, TenantUsage};
pub use token_cache::TokenCache;
