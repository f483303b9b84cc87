//! Tests of reading the key from the `Authorization` header.

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use sablehaven_types::KeyDigest;

use super::presented_key;

fn presented_key_in(headers: &[&'static str]) -> Option<KeyDigest> {
    let mut map = HeaderMap::new();
    for header in headers {
        map.append(AUTHORIZATION, HeaderValue::from_static(header));
    }
    presented_key(&map)
}

#[test]
fn the_scheme_is_case_insensitive() {
    let key = Some(KeyDigest::of(b"k-1"));
    for header in ["Bearer k-1", "bearer k-1", "BEARER   k-1", " Bearer k-1 "] {
        assert_eq!(presented_key_in(&[header]), key, "{header}");
    }
}

#[test]
fn malformed_or_repeated_keys_are_ignored() {
    for header in [
        "",
        "Bearer",
        "Bearer ",
        "Bearerk-1",
        "Basic k-1",
        "k-1",
        "Bearer k-1 k-2",
    ] {
        assert_eq!(presented_key_in(&[header]), None, "{header}");
    }
    assert_eq!(presented_key_in(&[]), None);
    assert_eq!(presented_key_in(&["Bearer k-1", "Bearer k-1"]), None);
}
