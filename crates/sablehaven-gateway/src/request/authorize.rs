//! Authentication of a request: finds the caller by the key in the `Authorization` header.

use hyper::{
    header::{AUTHORIZATION, HeaderMap},
    http::request::Parts,
};
use sablehaven_types::KeyDigest;

use super::refusal::Refusal;
use crate::{
    caller::{Caller, CallerValidity},
    gateway::Gateway,
    route_table::PlannedRoute,
};

/// The authentication scheme of a key, compared case-insensitively.
const SCHEME: &str = "bearer";

/// Finds the caller of a request in the configuration in force. A known key also identifies the tenant on a public
/// route; any other key is ignored there.
///
/// # Errors
/// [`Refusal::UnknownKey`] if the route needs a key and it is missing, malformed or unknown; [`Refusal::NoRoutes`] if
/// no configuration is in force.
pub(super) fn find_caller(
    gateway: &Gateway,
    planned: &PlannedRoute,
    head: &Parts,
) -> Result<Caller, Refusal> {
    let age = gateway.clock.now();
    let table = gateway.routes().ok_or(Refusal::NoRoutes { age })?;
    let has_tenants = !table.tenants().is_empty();
    let key = has_tenants.then(|| presented_key(&head.headers)).flatten();
    let caller = Caller::find(&table, planned.route().is_public, key);
    caller.ok_or_else(|| {
        gateway.metrics.unknown_key_requests.inc();
        Refusal::UnknownKey
    })
}

/// Finds the caller of a request that has waited, in the configuration that is in force now.
///
/// # Errors
/// See [`find_caller`].
pub(super) fn revalidate_caller(
    gateway: &Gateway,
    planned: &PlannedRoute,
    head: &Parts,
    caller: Caller,
) -> Result<Caller, Refusal> {
    match gateway.caller_validity(&caller) {
        CallerValidity::Valid => Ok(caller),
        CallerValidity::Changed | CallerValidity::KeyRevoked => find_caller(gateway, planned, head),
    }
}

/// The digest of the caller's key; `None` if there is no `Authorization` header, more than one, or one that holds no
/// single bearer token.
fn presented_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (value, None) = (values.next()?, values.next()) else {
        return None;
    };
    let text = value.as_bytes().trim_ascii();
    let (scheme, remainder) = text.split_at_checked(SCHEME.len())?;
    let key = remainder.trim_ascii_start();
    let has_separator = key.len() < remainder.len();
    let is_single_token = !key.is_empty() && !key.iter().any(u8::is_ascii_whitespace);
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME.as_bytes());
    (is_bearer && has_separator && is_single_token).then(|| KeyDigest::of(key))
}

#[cfg(test)]
mod tests;
