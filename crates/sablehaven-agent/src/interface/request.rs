//! Reading what a caller's headers ask for. Pure.

use std::time::Duration;

use sablehaven_types::http;
use salvo::http::{
    HeaderMap,
    header::{ACCEPT, CONTENT_TYPE},
};

use crate::reason::Reason;

/// The longest deadline a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// How a body is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// `application/json`.
    Json,
    /// `application/x-protobuf`.
    Protobuf,
}

impl Encoding {
    /// The content type that names the encoding.
    pub fn content_type(self) -> &'static str {
        match self {
            Self::Json => http::CONTENT_TYPE_JSON,
            Self::Protobuf => http::CONTENT_TYPE_PROTOBUF,
        }
    }
}

/// The encoding of a request's body; JSON where the caller names none.
pub fn request_encoding(headers: &HeaderMap) -> Result<Encoding, Reason> {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return Ok(Encoding::Json);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    parse_media_type(&text).ok_or_else(|| Reason::UnsupportedContentType(text.into_owned()))
}

/// The encoding of the answer: the first that the caller accepts, else that of the request.
pub fn answer_encoding(headers: &HeaderMap) -> Encoding {
    let accepted = headers.get(ACCEPT).and_then(|value| value.to_str().ok());
    let accepted = accepted.and_then(|text| text.split(',').find_map(parse_media_type));
    let fallback = request_encoding(headers).unwrap_or(Encoding::Json);
    accepted.unwrap_or(fallback)
}

/// Time from arrival to the caller's deadline: what the caller names, else the method's own.
pub fn time_allowed(headers: &HeaderMap, method_deadline_ms: u64) -> Result<Duration, Reason> {
    let Some(value) = headers.get(http::DEADLINE_MS) else {
        return Ok(Duration::from_millis(method_deadline_ms));
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let named = parsed.map(Duration::from_millis);
    named
        .filter(|time| !time.is_zero() && *time <= MAX_DEADLINE)
        .ok_or_else(|| Reason::InvalidHeader {
            name: http::DEADLINE_MS,
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
            allowed: "1 to 60000",
        })
}

/// The encoding that a media type names, its parameters put aside.
fn parse_media_type(media_type: &str) -> Option<Encoding> {
    let essence = media_type.split(';').next()?.trim();
    if essence.eq_ignore_ascii_case(http::CONTENT_TYPE_JSON) {
        return Some(Encoding::Json);
    }
    if essence.eq_ignore_ascii_case(http::CONTENT_TYPE_PROTOBUF) {
        return Some(Encoding::Protobuf);
    }
    None
}
