//! Routes: which service, split or set of shards answers requests of a host and path prefix.
//!
//! A document is whole: the operator sends all routes, services and limits under one version, and
//! the highest version wins.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{AllowedRegions, ServiceName, Tenant, TenantName, tenant_rules::validate_tenants};

/// All routes of a deployment under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Grows with each change, in steps of any size.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: BTreeMap<ServiceName, RoutedService>,
    /// What a caller may send, and how long it may take.
    pub limits: CallerLimits,
    /// The tenants; without any, every caller's requests are taken and none needs a key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub kind: RequestKind,
    /// The longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is worth its whole credit, in milliseconds.
    pub aim_ms: u64,
    /// The rank under pressure; 0 is served first.
    pub priority: u32,
    /// The number of servers that one request may be sent to; for a gather, of each shard.
    pub max_attempts: u32,
    /// Who answers.
    pub target: RouteTarget,
    /// Where its requests may be served.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
    /// Whether callers need no key, also where there are tenants.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    NonIdempotent,
}

/// Who answers the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// One server of a service.
    Service(ServiceName),
    /// One server of one of the services, drawn by weight.
    Split(Vec<WeightedService>),
    /// One server of every shard.
    Gather(Gather),
}

/// A part of a split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A query over many shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// The shards, each a service.
    pub shards: Vec<ServiceName>,
    /// The number of records in an answer.
    pub top_k: usize,
    /// The least share (0 to 1) of the shards that makes an answer.
    pub min_coverage: f64,
}

/// What a document says of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutedService {
    /// Path of its servers' health check.
    pub health_path: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Time for which a server is cold after a start, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Requests a second that a cold server bears from all callers together; 0 where there is no bound.
    #[serde(default)]
    pub warmup_per_second: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest rest of a connection between two requests, in milliseconds.
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

/// Why a document of routes is not valid.
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
        /// The tenant that names it last.
        tenant: TenantName,
    },
    /// tenant '{tenant}': its name must not be empty and have no control characters
    InvalidTenantName {
        /// The tenant, with those characters escaped.
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
    /// Checks the document by itself, whatever its version.
    ///
    /// # Errors
    /// The first route that is not valid, and why.
    pub fn validate(&self) -> Result<(), RouteError> {
        let mut places = BTreeSet::new();
        for route in &self.routes {
            route.validate(&self.services)?;
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if !places.insert(place) {
                let route = route.name.clone();
                return Err(RouteError::DuplicateRouteKey { route });
            }
        }
        validate_tenants(&self.tenants)
    }
}

impl RouteDocument {
    /// The regions that some route of a host is bound to; unrestricted where none is.
    pub fn allowed_regions_of_host(&self, host: &str) -> AllowedRegions {
        let routes = self.routes.iter();
        let of_host = routes.filter(|route| route.host.eq_ignore_ascii_case(host));
        let named = of_host.flat_map(|route| route.allowed_regions.iter());
        named.cloned().collect()
    }
}

impl Route {
    /// The services that may answer, in the order of the document.
    pub fn services(&self) -> Vec<&ServiceName> {
        match &self.target {
            RouteTarget::Service(service) => vec![service],
            RouteTarget::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            RouteTarget::Gather(gather) => gather.shards.iter().collect(),
        }
    }

    /// The first of the services that it may need; routes with the same one need the same servers.
    ///
    /// # Panics
    /// On a split or gather without any, which [`RouteDocument::validate`] refuses.
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
    /// The least number of shards that makes an answer.
    pub fn min_shards(&self) -> usize {
        let shards = self.shards.len();
        // The smallest count whose share is not below the bound, whatever the rounding.
        (0..=shards)
            .find(|count| *count as f64 / shards as f64 >= self.min_coverage)
            .unwrap_or(shards)
            .max(1)
    }
}
