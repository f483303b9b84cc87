//! Tenants' quotas over many gateways, as pure decisions: the caller passes the time in and carries the messages.
//!
//! Each control replica holds one of so many equal parts of every tenant's token bucket ([`QuotaPart`]), whether or not
//! it leads. A gateway asks the nearest one for a token before it sends a request to servers, and keeps a few more for
//! tenants that it serves often ([`TokenCache`]). A replica whose part is used up asks others for a loan. Nothing here is
//! durable: a replica starts with an empty part, so that no token is granted again after a restart.

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
