//! Parsing of the headers that identify an at-most-once request in the ledger.

use sablehaven_types::{CallerId, LedgerKey, RequestId, http};
use salvo::http::HeaderMap;

use crate::reason::Reason;

/// Maximum length of a caller or request id, in bytes. The limit is needed because the ledger keeps
/// both until they are below its horizon.
const MAX_ID_BYTES: usize = 128;

/// The parsed headers of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceHeaders {
    /// The key of the request in the ledger.
    pub key: LedgerKey,
    /// Whether this is a resend: the caller has sent the request before and does not know its
    /// outcome.
    pub resend: bool,
}

impl OnceHeaders {
    /// Parses the headers. The error names the first header that is missing or invalid.
    pub fn parse(headers: &HeaderMap) -> Result<Self, Reason> {
        let caller = id_header(headers, http::CALLER)?;
        let request = id_header(headers, http::REQUEST_ID)?;
        let issued_at = text_header(headers, http::ISSUED_AT_MS)?;
        let issued_at_ms = issued_at.parse().map_err(|_| Reason::InvalidHeader {
            name: http::ISSUED_AT_MS,
            value: issued_at.to_owned(),
            allowed: "milliseconds since the Unix epoch",
        })?;
        Ok(Self {
            key: LedgerKey {
                caller: CallerId::from(caller),
                request: RequestId::from(request),
                issued_at_ms,
            },
            resend: is_resend(headers),
        })
    }
}

/// Returns whether the headers mark the request as a resend.
pub fn is_resend(headers: &HeaderMap) -> bool {
    headers
        .get(http::RESEND)
        .is_some_and(|value| value.as_bytes() == b"1")
}

fn id_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Reason> {
    let value = text_header(headers, name)?;
    if (1..=MAX_ID_BYTES).contains(&value.len()) {
        return Ok(value);
    }
    Err(Reason::InvalidHeader {
        name,
        value: value.chars().take(MAX_ID_BYTES).collect(),
        allowed: "1 to 128 bytes",
    })
}

fn text_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Reason> {
    let value = headers.get(name).ok_or(Reason::MissingHeader(name))?;
    value.to_str().map_err(|_| Reason::InvalidHeader {
        name,
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        allowed: "visible ASCII characters",
    })
}
