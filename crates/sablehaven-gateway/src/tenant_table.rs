//! Finds the tenant of the key that a caller presents.

use std::sync::Arc;

use hyper::header::HeaderValue;
use sablehaven_types::{KeyDigest, RouteDocument, Tenant};

/// The keys of one version of the configuration, indexed for lookup.
pub(crate) struct TenantTable {
    document: Arc<RouteDocument>,
    /// The digest of each key with the index of its tenant in the document, sorted by digest. For tens of
    /// thousands of keys a sorted array takes little more memory than the keys themselves.
    by_key: Box<[(KeyDigest, u32)]>,
}

/// A tenant in one version of the configuration. Cheap to clone.
#[derive(Clone)]
pub(crate) struct TenantRef {
    document: Arc<RouteDocument>,
    position: usize,
}

impl TenantTable {
    pub(crate) fn new(document: Arc<RouteDocument>) -> Self {
        let mut by_key = Vec::new();
        for (position, tenant) in (0..).zip(&document.tenants) {
            by_key.extend(tenant.keys.iter().map(|key| (*key, position)));
        }
        by_key.sort_unstable();
        Self {
            by_key: by_key.into_boxed_slice(),
            document,
        }
    }

    /// Whether there are no tenants, so that no request needs a key.
    pub(crate) fn is_empty(&self) -> bool {
        self.document.tenants.is_empty()
    }

    /// Finds the tenant that owns a key.
    pub(crate) fn find(&self, key: KeyDigest) -> Option<TenantRef> {
        let found = self.by_key.binary_search_by_key(&key, |(known, _)| *known);
        let (_, position) = self.by_key[found.ok()?];
        Some(TenantRef {
            document: Arc::clone(&self.document),
            position: position as usize,
        })
    }
}

impl TenantRef {
    pub(crate) fn tenant(&self) -> &Tenant {
        &self.document.tenants[self.position]
    }

    /// The tenant's name as a header value for servers; `None` if the name is not a valid header value, which
    /// [`RouteDocument::validate`] rejects.
    pub(crate) fn to_header_value(&self) -> Option<HeaderValue> {
        HeaderValue::from_bytes(self.tenant().name.as_str().as_bytes()).ok()
    }
}

#[cfg(test)]
mod tests;
