//! Routes: which service, weighted split or set of shards serves the requests for a host and path prefix.
//!
//! A route document is always complete: the operator submits all routes, services, limits and tenants as one version.
//! The highest version takes effect.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{AllowedRegions, ServiceName, Tenant, TenantName, tenant_rules::validate_tenants};

/// One version of all routes of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Increases with each change, in steps of any size.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes may refer to.
    pub services: BTreeMap<ServiceName, RoutedService>,
    /// The limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The tenants. If there are none, requests of every caller are accepted without an API key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route, used in logs and error messages.
    pub name: String,
    /// The host of the request, compared without regard to case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub kind: RequestKind,
    /// The request timeout, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in milliseconds. Only a response within this time has its full value to the caller.
    pub aim_ms: u64,
    /// The priority under overload; 0 is served first.
    pub priority: u32,
    /// The maximum number of servers to which one request is sent; for a gather, the maximum for each shard.
    pub max_attempts: u32,
    /// The service or services that serve the requests.
    pub target: RouteTarget,
    /// The regions in which the requests may be served.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
    /// Whether callers need no API key even if the document has tenants.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The request may run any number of times.
    Safe,
    /// The request runs at most once.
    NonIdempotent,
}

/// The servers that serve the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// One server of a service.
    Service(ServiceName),
    /// One server of one service, which is selected at random by weight.
    Split(Vec<WeightedService>),
    /// One server of every shard.
    Gather(Gather),
}

/// One service of a weighted split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The service's share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A query that is sent to several shards and whose replies are merged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// The shards, each of which is a service.
    pub shards: Vec<ServiceName>,
    /// The number of records in a response.
    pub top_k: usize,
    /// The minimum fraction of the shards (0 to 1) that a response must cover.
    pub min_coverage: f64,
}

/// The settings of one service in a route document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutedService {
    /// The path of the servers' health check.
    pub health_path: String,
    /// The number of connections that one server accepts from all clients together.
    pub max_connections: u32,
    /// The warm-up time of a server after a start, in milliseconds. The server is cold during this time.
    #[serde(default)]
    pub warmup_ms: u64,
    /// The number of requests per second that a cold server can serve for all clients together; 0 for no limit.
    #[serde(default)]
    pub warmup_per_second: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request's header section, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The timeout for receiving a request's header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// The maximum idle time of a connection between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a route document is invalid.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum RouteError {
    /// route '{route}': service '{service}' is not known
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// route '{route}': another route has the same host and path prefix
    DuplicateRouteKey {
        /// The route.
        route: String,
    },
    /// route '{route}': the weights sum to 0
    ZeroWeightSum {
        /// The route.
        route: String,
    },
    /// route '{route}': a weight is negative or not a number
    InvalidWeight {
        /// The route.
        route: String,
    },
    /// route '{route}': the time-out is 0
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// route '{route}': the path prefix must begin and end with a slash
    InvalidPathPrefix {
        /// The route.
        route: String,
    },
    /// route '{route}': no shards are named, or one is named twice
    InvalidShards {
        /// The route.
        route: String,
    },
    /// route '{route}': min_coverage is not between 0 and 1
    InvalidMinCoverage {
        /// The route.
        route: String,
    },
    /// route '{route}': a gather must be of kind safe
    UnsafeGather {
        /// The route.
        route: String,
    },
    /// tenant '{tenant}': another tenant has the same name
    DuplicateTenant {
        /// The tenant.
        tenant: TenantName,
    },
    /// tenant '{tenant}': another tenant has one of its keys
    DuplicateKey {
        /// The later of the two tenants with the key, in the order of the document.
        tenant: TenantName,
    },
    /// tenant '{tenant}': its name must not be empty and have no control characters
    InvalidTenantName {
        /// The tenant's name, with control characters escaped.
        tenant: TenantName,
    },
    /// tenant '{tenant}': a key is empty
    EmptyKey {
        /// The tenant.
        tenant: TenantName,
    },
    /// tenant '{tenant}': the rate must be above 0 and the burst 0 or more, both finite
    InvalidQuota {
        /// The tenant.
        tenant: TenantName,
    },
}

impl RouteDocument {
    /// Validates the document on its own, whatever its version.
    ///
    /// # Errors
    /// Returns why the first invalid route or tenant is invalid.
    pub fn validate(&self) -> Result<(), RouteError> {
        let mut keys = BTreeSet::new();
        for route in &self.routes {
            route.validate(&self.services)?;
            let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if !keys.insert(key) {
                let route = route.name.clone();
                return Err(RouteError::DuplicateRouteKey { route });
            }
        }
        validate_tenants(&self.tenants)
    }
}

impl RouteDocument {
    /// Returns the union of the regions that the routes of a host name; unrestricted if none of them names a region.
    pub fn allowed_regions_of_host(&self, host: &str) -> AllowedRegions {
        let routes = self.routes.iter();
        let of_host = routes.filter(|route| route.host.eq_ignore_ascii_case(host));
        let named = of_host.flat_map(|route| route.allowed_regions.iter());
        named.cloned().collect()
    }
}

impl Route {
    /// Returns the services that may serve requests of this route, in the order of the document.
    pub fn services(&self) -> Vec<&ServiceName> {
        match &self.target {
            RouteTarget::Service(service) => vec![service],
            RouteTarget::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            RouteTarget::Gather(gather) => gather.shards.iter().collect(),
        }
    }

    /// Returns the first service of the target. Routes with the same first service need the same servers.
    ///
    /// # Panics
    /// Panics if a split or gather is empty, which [`RouteDocument::validate`] rejects.
    pub fn first_service(&self) -> &ServiceName {
        match &self.target {
            RouteTarget::Service(service) => service,
            RouteTarget::Split(parts) => &parts[0].service,
            RouteTarget::Gather(gather) => &gather.shards[0],
        }
    }

    fn validate(&self, known: &BTreeMap<ServiceName, RoutedService>) -> Result<(), RouteError> {
        let route = || self.name.clone();
        let unknown = self
            .services()
            .into_iter()
            .find(|name| !known.contains_key(*name));
        if let Some(service) = unknown {
            let service = service.clone();
            return Err(RouteError::UnknownService {
                route: route(),
                service,
            });
        }
        if self.timeout_ms == 0 {
            return Err(RouteError::ZeroTimeout { route: route() });
        }
        let prefix = &self.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(RouteError::InvalidPathPrefix { route: route() });
        }
        match &self.target {
            RouteTarget::Service(_) => Ok(()),
            RouteTarget::Split(parts) => self.validate_weights(parts),
            RouteTarget::Gather(gather) => self.validate_gather(gather),
        }
    }

    fn validate_weights(&self, parts: &[WeightedService]) -> Result<(), RouteError> {
        let route = self.name.clone();
        if parts
            .iter()
            .any(|part| !part.weight.is_finite() || part.weight < 0.0)
        {
            return Err(RouteError::InvalidWeight { route });
        }
        let sum: f64 = parts.iter().map(|part| part.weight).sum();
        if sum > 0.0 {
            Ok(())
        } else {
            Err(RouteError::ZeroWeightSum { route })
        }
    }

    fn validate_gather(&self, gather: &Gather) -> Result<(), RouteError> {
        let route = self.name.clone();
        let distinct: BTreeSet<_> = gather.shards.iter().collect();
        if gather.shards.is_empty() || distinct.len() != gather.shards.len() {
            return Err(RouteError::InvalidShards { route });
        }
        if !(0.0..=1.0).contains(&gather.min_coverage) {
            return Err(RouteError::InvalidMinCoverage { route });
        }
        if self.kind != RequestKind::Safe {
            return Err(RouteError::UnsafeGather { route });
        }
        Ok(())
    }
}

impl Gather {
    /// Returns the minimum number of shards that a response must cover; at least 1.
    pub fn min_shards(&self) -> usize {
        let shards = self.shards.len();
        // Finds the smallest sufficient count by comparing fractions. Rounding `shards * min_coverage` up could be off
        // by one.
        (0..=shards)
            .find(|count| *count as f64 / shards as f64 >= self.min_coverage)
            .unwrap_or(shards)
            .max(1)
    }
}
