//! What differs between two versions of the routes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, RouteDocument, RoutedService, ServiceName, Tenant, TenantName};

/// What differs between two versions of the routes: a change of one tenant among thousands must not cost the bytes of all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutesChange {
    /// The version that this changes; it says nothing to a receiver that has another one.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    /// Places whose route is gone.
    pub gone_routes: BTreeSet<RouteKey>,
    /// Routes that are new or differ.
    pub routes: Vec<Route>,
    /// Services that are gone.
    pub gone_services: BTreeSet<ServiceName>,
    /// Services that are new or differ.
    pub services: BTreeMap<ServiceName, RoutedService>,
    /// Tenants that are gone.
    pub gone_tenants: BTreeSet<TenantName>,
    /// Tenants that are new or differ.
    pub tenants: Vec<Tenant>,
    /// The limits, where they differ.
    pub limits: Option<CallerLimits>,
}

/// The place of a route, which no two routes of a valid document share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    /// The host, in lower case.
    pub host: String,
    /// The start of the path.
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

/// What differs between the things of two versions, each of which has a name of its own there.
struct Difference<Name, Thing> {
    gone: BTreeSet<Name>,
    changed: Vec<Thing>,
}

impl<Name: Ord, Thing: Clone + PartialEq> Difference<Name, Thing> {
    /// What leads from the things of one version to those of another.
    fn between(before: &[Thing], after: &[Thing], name: impl Fn(&Thing) -> Name) -> Self {
        let mut former: BTreeMap<Name, &Thing> =
            before.iter().map(|thing| (name(thing), thing)).collect();
        let mut changed = Vec::new();
        for thing in after {
            if former.remove(&name(thing)) != Some(thing) {
                changed.push(thing.clone());
            }
        }
        Self {
            gone: former.into_keys().collect(),
            changed,
        }
    }
}

/// The things of a version without those that are gone or replaced, and with what replaces them.
fn replaced<Name: Ord, Thing: Clone>(
    before: &[Thing],
    gone: &BTreeSet<Name>,
    changed: &[Thing],
    name: impl Fn(&Thing) -> Name,
) -> Vec<Thing> {
    let newer: BTreeSet<Name> = changed.iter().map(&name).collect();
    let is_kept = |thing: &&Thing| {
        let name = name(thing);
        !gone.contains(&name) && !newer.contains(&name)
    };
    let kept = before.iter().filter(is_kept);
    kept.chain(changed).cloned().collect()
}

fn tenant_name(tenant: &Tenant) -> TenantName {
    tenant.name.clone()
}

impl RoutesChange {
    /// What leads from one valid document to another.
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

    /// The document that this leads to from `base`, with its routes and tenants in any order; `None` where it changes
    /// another version.
    pub fn apply(&self, base: &RouteDocument) -> Option<RouteDocument> {
        if self.base != base.version {
            return None;
        }
        let mut services = base.services.clone();
        services.retain(|name, _| !self.gone_services.contains(name));
        services.extend(self.services.clone());
        Some(RouteDocument {
            version: self.version,
            routes: replaced(&base.routes, &self.gone_routes, &self.routes, RouteKey::of),
            services,
            limits: self.limits.unwrap_or(base.limits),
            tenants: replaced(
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
