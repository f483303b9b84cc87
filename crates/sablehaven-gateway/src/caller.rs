//! Whose request it is, and whether that still holds.

use std::cell::Cell;

use hyper::header::{AUTHORIZATION, HeaderMap};
use sablehaven_types::{KeyDigest, Tenant};

use crate::{
    names::HeaderNames,
    route_table::RouteTable,
    tenant_table::{KnownTenant, TenantTable},
};

/// Whose request it is, as the configuration says that was in force when the caller was looked up.
pub(crate) struct Caller {
    /// The latest version that is known to say so.
    version: Cell<u64>,
    /// The key with which the tenant was found.
    key: Option<KeyDigest>,
    tenant: Option<KnownTenant>,
    /// Whether the route needs no key.
    is_public: bool,
    /// Whether there were tenants.
    has_tenants: bool,
}

/// What a later version says of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerValidity {
    /// The same; its request may be sent to servers.
    Valid,
    /// The request is another tenant's now, or nobody's, or a key is needed now. Its caller may come again.
    Changed,
    /// No tenant has its key any more.
    KeyRevoked,
}

impl Caller {
    /// The caller of a request with this key; `None` where it needs one that is known.
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

    /// The caller's tenant; `None` where it needs no key.
    pub(crate) fn tenant(&self) -> Option<&Tenant> {
        self.tenant.as_ref().map(KnownTenant::tenant)
    }

    /// What the version in force says of the caller.
    pub(crate) fn check_validity(&self, in_force: &RouteTable) -> CallerValidity {
        let version = in_force.document().version;
        if self.version.get() == version {
            return CallerValidity::Valid;
        }
        let standing = self.look_up(in_force.tenants());
        if standing == CallerValidity::Valid {
            self.version.set(version);
        }
        standing
    }

    fn look_up(&self, tenants: &TenantTable) -> CallerValidity {
        if tenants.is_empty() {
            return CallerValidity::Valid;
        }
        let Some(key) = self.key else {
            return match self.is_public && self.has_tenants {
                true => CallerValidity::Valid,
                false => CallerValidity::Changed,
            };
        };
        let name = |tenant: &KnownTenant| tenant.tenant().name.clone();
        match tenants.find(key) {
            Some(found) if Some(name(&found)) == self.tenant.as_ref().map(name) => {
                CallerValidity::Valid
            }
            None if !self.is_public => CallerValidity::KeyRevoked,
            Some(_) | None => CallerValidity::Changed,
        }
    }

    /// Writes the tenant into the headers that go to servers, and takes out the key.
    pub(crate) fn mark(&self, headers: &mut HeaderMap, names: &HeaderNames) {
        headers.remove(&names.tenant);
        if self.has_tenants {
            headers.remove(AUTHORIZATION);
        }
        if let Some(name) = self.tenant.as_ref().and_then(KnownTenant::header) {
            headers.insert(&names.tenant, name);
        }
    }
}

#[cfg(test)]
mod tests;
