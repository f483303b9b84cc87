//! Selects the headers that are forwarded, without hop-by-hop headers.

use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName};

use crate::names::HeaderNames;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and those that hyper sets from the body.
const HOP_BY_HOP: [&str; 9] = [
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

/// The headers of a caller's request that are forwarded to servers. The gateway's own headers are set for each
/// attempt; tenant headers are set by
/// [`Caller::rewrite_tenant_headers`](crate::caller::Caller::rewrite_tenant_headers).
pub(super) fn request_headers_to_forward(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut kept = without_hop_by_hop(headers);
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

/// The headers of a server's response that are forwarded to the caller.
pub(super) fn response_headers_to_forward(headers: &HeaderMap) -> HeaderMap {
    without_hop_by_hop(headers)
}

fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let listed = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok());
    let mut kept = headers.clone();
    for name in listed {
        kept.remove(name);
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept.remove(CONTENT_LENGTH);
    kept
}
