//! Tests of what counts as a key.

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use sablehaven_types::KeyDigest;

use super::presented_key;

fn key_of(headers: &[&'static str]) -> Option<KeyDigest> {
    let mut map = HeaderMap::new();
    for header in headers {
        map.append(AUTHORIZATION, HeaderValue::from_static(header));
    }
    presented_key(&map)
}

#[test]
fn a_key_is_what_follows_the_scheme_in_any_case() {
    let key = Some(KeyDigest::of(b"k-1"));
    for header in ["Bearer k-1", "bearer k-1", "BEARER   k-1", " Bearer k-1 "] {
        assert_eq!(key_of(&[header]), key, "{header}");
    }
}

#[test]
fn what_is_not_one_key_is_none() {
    for header in [
        "",
        "Bearer",
        "Bearer ",
        "Bearerk-1",
        "Basic k-1",
        "k-1",
        "Bearer k-1 k-2",
    ] {
        assert_eq!(key_of(&[header]), None, "{header}");
    }
    assert_eq!(key_of(&[]), None);
    assert_eq!(key_of(&["Bearer k-1", "Bearer k-1"]), None);
}
