//! Bodies of requests and replies, as JSON and as protobuf.
//!
//! A body that does not fit its message is refused with the path of the field to blame, such as
//! `lines[2].quantity`.

mod depth;
mod field_path;
mod json;
mod locate;
mod protobuf;
mod request;
mod unique_keys;

pub use json::{decode_json, encode_json};
pub use protobuf::{decode_protobuf, decode_reply, encode_protobuf};

/// The path that stands for the body as a whole.
const WHOLE_BODY: &str = "(body)";

/// A body that does not fit its message.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("field '{path}': {message}")]
pub struct BodyError {
    /// The field to blame; `(body)` where it is the body as a whole.
    pub path: String,
    /// The reason.
    pub message: String,
}

impl BodyError {
    fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        let path = path.into();
        Self {
            path: if path.is_empty() || path == "." {
                WHOLE_BODY.to_owned()
            } else {
                path
            },
            message: message.into(),
        }
    }
}

/// What a body may cost before it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The longest body, in bytes.
    pub max_bytes: usize,
    /// The deepest nesting of messages and lists.
    pub max_depth: usize,
}

impl BodyLimits {
    /// Limits of a caller's request.
    pub const REQUEST: Self = Self {
        max_bytes: 256 * 1024,
        max_depth: 32,
    };
    /// Limits of a back end's reply.
    pub const REPLY: Self = Self {
        max_bytes: 4 * 1024 * 1024,
        max_depth: 32,
    };

    fn check_bytes(&self, length: usize) -> Result<(), BodyError> {
        if length <= self.max_bytes {
            return Ok(());
        }
        Err(BodyError::new(
            "",
            format!("has {length} bytes, allowed are {}", self.max_bytes),
        ))
    }

    fn too_deep(&self, path: impl Into<String>) -> BodyError {
        BodyError::new(path, format!("is nested more than {} deep", self.max_depth))
    }
}

/// Appends a field's name to a path.
fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
