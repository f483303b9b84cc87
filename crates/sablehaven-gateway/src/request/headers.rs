//! Headers that go on, and headers that concern only one connection.

use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName};

use crate::names::HeaderNames;

/// Headers that concern only one connection (RFC 9110, section 7.6.1), and those that hyper sets by
/// itself from the body.
const OF_ONE_CONNECTION: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A caller's headers as servers get them, but for what tells them of tenants; the gateway's own are set for each attempt.
pub(super) fn passed_on(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut kept = without_connection_headers(headers);
    kept.remove(EXPECT);
    for own in [
        &names.request_id,
        &names.deadline_ms,
        &names.expect_instance,
    ] {
        kept.remove(own);
    }
    kept
}

/// A server's headers as the caller gets them.
pub(super) fn handed_back(headers: &HeaderMap) -> HeaderMap {
    without_connection_headers(headers)
}

fn without_connection_headers(headers: &HeaderMap) -> HeaderMap {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok());
    let mut kept = headers.clone();
    for name in named {
        kept.remove(name);
    }
    for name in OF_ONE_CONNECTION {
        kept.remove(name);
    }
    kept.remove(CONTENT_LENGTH);
    kept
}
