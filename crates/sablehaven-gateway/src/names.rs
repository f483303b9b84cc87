//! What the headers between callers, gateway and servers are called.

use hyper::header::HeaderName;

/// The names of the gateway's own headers. The defaults are the product's; an adapter to another
/// platform brings that platform's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names one attempt of a caller; every server gets it as it came, and echoes it.
    pub request_id: HeaderName,
    /// Time that is left, in milliseconds.
    pub deadline_ms: HeaderName,
    /// A server's signature under its answer.
    pub stamp: HeaderName,
    /// The start of a server that a request is for; any other one answers 421.
    pub expect_instance: HeaderName,
    /// A server's word that it did not run the request.
    pub not_executed: HeaderName,
    /// The start of the server that answers.
    pub instance: HeaderName,
    /// The signatures of the shards that are in an answer, joined with commas.
    pub part_stamps: HeaderName,
    /// The number of shards that are left out.
    pub missing_parts: HeaderName,
    /// Tells servers whose request it is; what a caller says of that is not passed on.
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
