//! The fingerprint of a request: a hash of its content that is the same for each try of it and at every gateway.

use hyper::http::request::Parts;
use sablehaven_routing::crash_table;
use sablehaven_types::RequestFingerprint;

/// Computes the fingerprint of a request's method, host, path, query and body. It excludes the sender and whatever
/// changes from one try to the next, such as the request ID and the remaining time: to the servers, all of these are
/// the same request.
pub(crate) fn fingerprint(head: &Parts, host: &str, body: &[u8]) -> RequestFingerprint {
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    crash_table::fingerprint(&[head.method.as_str(), host, target], body)
}

#[cfg(test)]
mod tests;
