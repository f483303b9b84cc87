//! Whose request it is, by the key that its caller presents.

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

/// The scheme under which a key is presented, in any case.
const SCHEME: &str = "bearer";

/// Whose request it is, by the configuration in force. A key that is known counts on a public route too; any other one
/// is as good as none there.
///
/// # Errors
/// [`Refusal::UnknownKey`] where a key is needed and is absent, malformed or not known.
pub(super) fn find_caller(
    gateway: &Gateway,
    planned: &PlannedRoute,
    head: &Parts,
) -> Result<Caller, Refusal> {
    let age = gateway.clock.now();
    let table = gateway.routes().ok_or(Refusal::NoRoutes { age })?;
    let needs_look = !table.tenants().is_empty();
    let key = needs_look.then(|| presented_key(&head.headers)).flatten();
    let caller = Caller::find(&table, planned.route().is_public, key);
    caller.ok_or_else(|| {
        gateway.metrics.unknown_key_requests.inc();
        Refusal::UnknownKey
    })
}

/// The caller of a request that has waited, by the configuration in force now.
///
/// # Errors
/// See [`find_caller`].
pub(super) fn find_again(
    gateway: &Gateway,
    planned: &PlannedRoute,
    head: &Parts,
    caller: Caller,
) -> Result<Caller, Refusal> {
    match gateway.standing(&caller) {
        CallerValidity::Valid => Ok(caller),
        CallerValidity::Changed | CallerValidity::KeyRevoked => find_caller(gateway, planned, head),
    }
}

/// The digest of the key that a caller presents; `None` where there is none, more than one, or one of another scheme.
fn presented_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut presented = headers.get_all(AUTHORIZATION).iter();
    let (only, None) = (presented.next()?, presented.next()) else {
        return None;
    };
    let text = only.as_bytes().trim_ascii();
    let (scheme, rest) = text.split_at_checked(SCHEME.len())?;
    let key = rest.trim_ascii_start();
    let is_apart = key.len() < rest.len();
    let is_key = !key.is_empty() && !key.iter().any(u8::is_ascii_whitespace);
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME.as_bytes());
    (is_bearer && is_apart && is_key).then(|| KeyDigest::of(key))
}

#[cfg(test)]
mod tests;
