//! Parsing of the request headers that select the encoding and the deadline. No I/O.

use std::time::Duration;

use sablehaven_types::http;
use salvo::http::{
    HeaderMap,
    header::{ACCEPT, CONTENT_TYPE},
};

use crate::reason::Reason;

/// The longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// The encoding of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// `application/json`.
    Json,
    /// `application/x-protobuf`.
    Protobuf,
}

impl Encoding {
    /// Returns the content type of the encoding.
    pub fn content_type(self) -> &'static str {
        match self {
            Self::Json => http::CONTENT_TYPE_JSON,
            Self::Protobuf => http::CONTENT_TYPE_PROTOBUF,
        }
    }
}

/// Returns the encoding of the request body. JSON is the default.
pub fn request_encoding(headers: &HeaderMap) -> Result<Encoding, Reason> {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return Ok(Encoding::Json);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    parse_media_type(&text).ok_or_else(|| Reason::UnsupportedContentType(text.into_owned()))
}

/// Returns the encoding of the answer: the first supported one in `accept`, else that of the request.
pub fn answer_encoding(headers: &HeaderMap) -> Encoding {
    let accepted = headers.get(ACCEPT).and_then(|value| value.to_str().ok());
    let accepted = accepted.and_then(|text| text.split(',').find_map(parse_media_type));
    let fallback = request_encoding(headers).unwrap_or(Encoding::Json);
    accepted.unwrap_or(fallback)
}

/// Returns the time from arrival to the deadline: the caller's value, else the method's default.
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

/// Returns the encoding for a media type, ignoring its parameters.
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
