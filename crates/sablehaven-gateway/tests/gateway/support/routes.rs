//! Routes and records for tests.

use sablehaven_types::{AllowedRegions, Gather, RequestKind, Route, RouteTarget};

/// A route to one service.
pub fn service_route(path_prefix: &str, kind: RequestKind, service: &str) -> Route {
    Route {
        name: format!("r{}", path_prefix.replace('/', "-")),
        host: "stock.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        timeout_ms: 3_000,
        aim_ms: 400,
        priority: 1,
        max_attempts: 2,
        allowed_regions: AllowedRegions::default(),
        is_public: false,
        target: RouteTarget::Service(service.into()),
    }
}

/// A route to shards, whose replies are merged.
pub fn gather_route(path_prefix: &str, shards: &[&str], min_coverage: f64) -> Route {
    Route {
        target: RouteTarget::Gather(Gather {
            shards: shards.iter().map(|shard| (*shard).into()).collect(),
            top_k: 3,
            min_coverage,
        }),
        ..service_route(path_prefix, RequestKind::Safe, "none")
    }
}

/// A record of 16 bytes: 15 zeros and `value`.
pub fn record(value: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[15] = value;
    record
}
