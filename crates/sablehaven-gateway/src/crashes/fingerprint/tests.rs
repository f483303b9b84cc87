//! Tests of fingerprints.

use hyper::Request;
use sablehaven_types::RequestFingerprint;

use super::fingerprint;

fn of(method: &str, host: &str, target: &str, id: &str, body: &str) -> RequestFingerprint {
    let request = Request::builder()
        .method(method)
        .uri(target)
        .header("request-id", id);
    let (head, ()) = request.body(()).expect("a request").into_parts();
    fingerprint(&head, host, body.as_bytes())
}

#[test]
fn each_try_of_a_request_has_the_same_fingerprint() {
    let first = of("POST", "stock.example", "/g/x?page=1", "1", "body");
    let second = of("POST", "stock.example", "/g/x?page=1", "2", "body");
    assert_eq!(first, second);
}

#[test]
fn whatever_servers_see_makes_another_fingerprint() {
    let known = of("POST", "stock.example", "/g/x?page=1", "1", "body");
    let others = [
        of("PUT", "stock.example", "/g/x?page=1", "1", "body"),
        of("POST", "other.example", "/g/x?page=1", "1", "body"),
        of("POST", "stock.example", "/g/y?page=1", "1", "body"),
        of("POST", "stock.example", "/g/x?page=2", "1", "body"),
        of("POST", "stock.example", "/g/x?page=1", "1", "other"),
        of("POST", "stock.example/g", "/x?page=1", "1", "body"),
    ];
    assert!(others.iter().all(|other| *other != known));
}
