//! Tests of fingerprints.

use hyper::Request;
use sablehaven_types::RequestFingerprint;

use super::fingerprint;

fn fingerprint_of(
    method: &str,
    host: &str,
    target: &str,
    id: &str,
    body: &str,
) -> RequestFingerprint {
    let request = Request::builder()
        .method(method)
        .uri(target)
        .header("request-id", id);
    let (head, ()) = request.body(()).expect("a request").into_parts();
    fingerprint(&head, host, body.as_bytes())
}

#[test]
fn each_try_of_a_request_has_the_same_fingerprint() {
    let first = fingerprint_of("POST", "stock.example", "/g/x?page=1", "1", "body");
    let second = fingerprint_of("POST", "stock.example", "/g/x?page=1", "2", "body");
    assert_eq!(first, second);
}

#[test]
fn a_change_of_any_part_that_servers_see_changes_the_fingerprint() {
    let original = fingerprint_of("POST", "stock.example", "/g/x?page=1", "1", "body");
    let others = [
        fingerprint_of("PUT", "stock.example", "/g/x?page=1", "1", "body"),
        fingerprint_of("POST", "other.example", "/g/x?page=1", "1", "body"),
        fingerprint_of("POST", "stock.example", "/g/y?page=1", "1", "body"),
        fingerprint_of("POST", "stock.example", "/g/x?page=2", "1", "body"),
        fingerprint_of("POST", "stock.example", "/g/x?page=1", "1", "other"),
        fingerprint_of("POST", "stock.example/g", "/x?page=1", "1", "body"),
    ];
    assert!(others.iter().all(|other| *other != original));
}
