//! What a request asks for, in one number: the same for each try of it, at every gateway.

use hyper::http::request::Parts;
use sablehaven_routing::crash_table;
use sablehaven_types::RequestFingerprint;

/// The fingerprint of a request's method, host, path, query and body. What changes from one try to the next (its
/// id, the time left) and who sends it stays out: servers see the same request.
pub(crate) fn fingerprint(head: &Parts, host: &str, body: &[u8]) -> RequestFingerprint {
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    crash_table::fingerprint(&[head.method.as_str(), host, target], body)
}

#[cfg(test)]
mod tests;
