//! Names of the HTTP headers that callers, gateway and servers exchange.

use hyper::header::HeaderName;

/// The names of the gateway's own headers. The defaults belong to this product; an adapter for another platform
/// sets the names that this platform uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller. Every server receives it unchanged and echoes it.
    pub request_id: HeaderName,
    /// Remaining time of the request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// A server's signature of its response.
    pub stamp: HeaderName,
    /// The server instance (one start of a server process) that a request is addressed to. Any other instance
    /// answers with status 421.
    pub expect_instance: HeaderName,
    /// Set by a server that guarantees that it did not run the request.
    pub not_executed: HeaderName,
    /// The server instance that sends the response.
    pub instance: HeaderName,
    /// The signatures of the shards that are included in a response, separated by commas.
    pub part_stamps: HeaderName,
    /// The number of shards that are missing from a response.
    pub missing_parts: HeaderName,
    /// Tells servers which tenant a request belongs to. A value that a caller sends is not forwarded.
    pub tenant: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("sablehaven-request-id"),
            deadline_ms: HeaderName::from_static("sablehaven-deadline-ms"),
            stamp: HeaderName::from_static("sablehaven-stamp"),
            expect_instance: HeaderName::from_static("sablehaven-expect-instance"),
            not_executed: HeaderName::from_static("sablehaven-not-executed"),
            instance: HeaderName::from_static("sablehaven-instance"),
            part_stamps: HeaderName::from_static("sablehaven-part-stamps"),
            missing_parts: HeaderName::from_static("sablehaven-missing-parts"),
            tenant: HeaderName::from_static("sablehaven-tenant"),
        }
    }
}
