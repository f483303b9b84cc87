//! The caller of a request, and whether its identity is still valid in later versions of the configuration.

use std::cell::Cell;

use hyper::header::{AUTHORIZATION, HeaderMap};
use sablehaven_types::{KeyDigest, Tenant};

use crate::{
    names::HeaderNames,
    route_table::RouteTable,
    tenant_table::{TenantRef, TenantTable},
};

/// The caller of a request, as identified by the configuration that was in force when it was looked up.
pub(crate) struct Caller {
    /// The latest configuration version in which this caller is known to be valid.
    version: Cell<u64>,
    /// The key that identified the tenant.
    key: Option<KeyDigest>,
    tenant: Option<TenantRef>,
    /// Whether the route needs no key.
    is_public: bool,
    /// Whether the configuration had any tenants.
    has_tenants: bool,
}

/// Whether a caller is still valid in a later version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerValidity {
    /// Unchanged: its request may be sent to servers.
    Valid,
    /// The key belongs to another tenant or to none now, or a key is needed now. The caller may retry.
    Changed,
    /// No tenant has the key any more.
    KeyRevoked,
}

impl Caller {
    /// Finds the caller of a request with this key; `None` if the route needs a known key.
    pub(crate) fn find(
        table: &RouteTable,
        is_public: bool,
        key: Option<KeyDigest>,
    ) -> Option<Self> {
        let tenants = table.tenants();
        let tenant = key.and_then(|key| tenants.find(key));
        if tenant.is_none() && !is_public && !tenants.is_empty() {
            return None;
        }
        Some(Self {
            version: Cell::new(table.document().version),
            key: key.filter(|_| tenant.is_some()),
            tenant,
            is_public,
            has_tenants: !tenants.is_empty(),
        })
    }

    /// The caller's tenant; `None` if it was not identified by a key.
    pub(crate) fn tenant(&self) -> Option<&Tenant> {
        self.tenant.as_ref().map(TenantRef::tenant)
    }

    /// Checks whether the caller is still valid in the version of the configuration that `table` holds.
    pub(crate) fn check_validity(&self, table: &RouteTable) -> CallerValidity {
        let version = table.document().version;
        if self.version.get() == version {
            return CallerValidity::Valid;
        }
        let validity = self.validity_in(table.tenants());
        if validity == CallerValidity::Valid {
            self.version.set(version);
        }
        validity
    }

    fn validity_in(&self, tenants: &TenantTable) -> CallerValidity {
        if tenants.is_empty() {
            return CallerValidity::Valid;
        }
        let Some(key) = self.key else {
            return match self.is_public && self.has_tenants {
                true => CallerValidity::Valid,
                false => CallerValidity::Changed,
            };
        };
        let name = |tenant: &TenantRef| tenant.tenant().name.clone();
        match tenants.find(key) {
            Some(found) if Some(name(&found)) == self.tenant.as_ref().map(name) => {
                CallerValidity::Valid
            }
            None if !self.is_public => CallerValidity::KeyRevoked,
            Some(_) | None => CallerValidity::Changed,
        }
    }

    /// Prepares the headers for servers: replaces any tenant header that the caller sent by its tenant, and removes
    /// the key if there are tenants.
    pub(crate) fn rewrite_tenant_headers(&self, headers: &mut HeaderMap, names: &HeaderNames) {
        headers.remove(&names.tenant);
        if self.has_tenants {
            headers.remove(AUTHORIZATION);
        }
        if let Some(name) = self.tenant.as_ref().and_then(TenantRef::to_header_value) {
            headers.insert(&names.tenant, name);
        }
    }
}

#[cfg(test)]
mod tests;
