//! What a request asks for, in one number: the same for each try of it, at every gateway.

use hyper::http::request::Parts;
use sablehaven_types::RequestFingerprint;
use xxhash_rust::xxh3::Xxh3;

/// The fingerprint of a request's method, host, path, query and body. What changes from one try to the next (its
/// id, the time left) and who sends it stays out: servers see the same request.
pub(crate) fn fingerprint(head: &Parts, host: &str, body: &[u8]) -> RequestFingerprint {
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let mut hash = Xxh3::new();
    for field in [head.method.as_str(), host, target] {
        hash.update(field.as_bytes());
        // Ends the field, so that two fields never run together; no field holds this byte.
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

/// A fingerprint as log lines show it.
pub(crate) fn fingerprint_text(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}

#[cfg(test)]
mod tests;
