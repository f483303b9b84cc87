//! The difference between two versions of the routes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, RouteDocument, RoutedService, ServiceName, Tenant, TenantName};

/// The difference between two versions of the routes. Sending only the difference keeps an update small if, for
/// example, one of thousands of tenants changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutesChange {
    /// The version to which the change applies. A receiver with a different version cannot apply it.
    pub base: u64,
    /// The version that results from the change.
    pub version: u64,
    /// Keys of the routes that were removed.
    pub gone_routes: BTreeSet<RouteKey>,
    /// Routes that are new or changed.
    pub routes: Vec<Route>,
    /// Services that were removed.
    pub gone_services: BTreeSet<ServiceName>,
    /// Services that are new or changed.
    pub services: BTreeMap<ServiceName, RoutedService>,
    /// Tenants that were removed.
    pub gone_tenants: BTreeSet<TenantName>,
    /// Tenants that are new or changed.
    pub tenants: Vec<Tenant>,
    /// The limits, if they changed.
    pub limits: Option<CallerLimits>,
}

/// The key of a route, which is unique among the routes of a valid document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    /// The host, in lower case.
    pub host: String,
    /// The path prefix.
    pub path_prefix: String,
}

impl RouteKey {
    fn of(route: &Route) -> Self {
        Self {
            host: route.host.to_ascii_lowercase(),
            path_prefix: route.path_prefix.clone(),
        }
    }
}

/// The difference between two lists of items, in each of which every item has a unique key.
struct Difference<Key, Item> {
    gone: BTreeSet<Key>,
    changed: Vec<Item>,
}

impl<Key: Ord, Item: Clone + PartialEq> Difference<Key, Item> {
    /// Computes the difference from one list to another.
    fn between(before: &[Item], after: &[Item], key: impl Fn(&Item) -> Key) -> Self {
        let mut unmatched: BTreeMap<Key, &Item> =
            before.iter().map(|item| (key(item), item)).collect();
        let mut changed = Vec::new();
        for item in after {
            if unmatched.remove(&key(item)) != Some(item) {
                changed.push(item.clone());
            }
        }
        Self {
            gone: unmatched.into_keys().collect(),
            changed,
        }
    }
}

/// Applies a difference: returns the items of `before` without the removed and changed ones, followed by the changed
/// ones.
fn apply_difference<Key: Ord, Item: Clone>(
    before: &[Item],
    gone: &BTreeSet<Key>,
    changed: &[Item],
    key: impl Fn(&Item) -> Key,
) -> Vec<Item> {
    let changed_keys: BTreeSet<Key> = changed.iter().map(&key).collect();
    let is_kept = |item: &&Item| {
        let key = key(item);
        !gone.contains(&key) && !changed_keys.contains(&key)
    };
    let kept = before.iter().filter(is_kept);
    kept.chain(changed).cloned().collect()
}

fn tenant_name(tenant: &Tenant) -> TenantName {
    tenant.name.clone()
}

impl RoutesChange {
    /// Computes the change from one valid document to another.
    pub fn between(base: &RouteDocument, next: &RouteDocument) -> Self {
        let routes = Difference::between(&base.routes, &next.routes, RouteKey::of);
        let tenants = Difference::between(&base.tenants, &next.tenants, tenant_name);
        let gone_services = base.services.keys();
        let gone_services = gone_services.filter(|name| !next.services.contains_key(*name));
        let services = next.services.iter();
        let services = services.filter(|(name, service)| base.services.get(*name) != Some(service));
        Self {
            base: base.version,
            version: next.version,
            gone_routes: routes.gone,
            routes: routes.changed,
            gone_services: gone_services.cloned().collect(),
            services: services
                .map(|(name, service)| (name.clone(), service.clone()))
                .collect(),
            gone_tenants: tenants.gone,
            tenants: tenants.changed,
            limits: (next.limits != base.limits).then_some(next.limits),
        }
    }

    /// Applies the change to `base` and returns the resulting document, or `None` if the change applies to a different
    /// version. The order of the document's routes and tenants is unspecified.
    pub fn apply(&self, base: &RouteDocument) -> Option<RouteDocument> {
        if self.base != base.version {
            return None;
        }
        let mut services = base.services.clone();
        services.retain(|name, _| !self.gone_services.contains(name));
        services.extend(self.services.clone());
        Some(RouteDocument {
            version: self.version,
            routes: apply_difference(&base.routes, &self.gone_routes, &self.routes, RouteKey::of),
            services,
            limits: self.limits.unwrap_or(base.limits),
            tenants: apply_difference(
                &base.tenants,
                &self.gone_tenants,
                &self.tenants,
                tenant_name,
            ),
        })
    }
}

#[cfg(test)]
mod tests;
