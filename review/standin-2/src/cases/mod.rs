//! The cases, one module each.

pub mod list_moved;
pub mod release;
pub mod slow_reader;
pub mod spoiled;
pub mod stop_queue;

use std::time::Duration;

/// How long the deployment may take to start.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A configuration with one route to one service.
pub fn configuration(version: u64, kind: &str, service: &str, timeout_ms: u64) -> String {
    serde_json::json!({
        "version": version,
        "routes": [{
            "name": "busca", "host": "busca.example", "path_prefix": "/busca/", "kind": kind,
            "timeout_ms": timeout_ms, "aim_ms": 1000, "priority": 2, "service": service, "max_attempts": 2,
        }],
        "services": [
            {"name": service, "health_path": "/health", "max_conns": 40, "protocol": "h1", "tls": false},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    })
    .to_string()
}
