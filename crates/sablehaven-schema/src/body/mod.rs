//! Decodes and encodes request and reply bodies, as JSON and as protobuf.
//!
//! The error for a body that does not match its message type contains the path of the invalid field,
//! such as `lines[2].quantity`.

mod depth;
mod field_path;
mod json;
mod locate;
mod protobuf;
mod request;
mod unique_keys;

pub use json::{decode_json, encode_json};
pub use protobuf::{decode_protobuf, decode_reply, encode_protobuf};

/// The path of an error that concerns the whole body.
const WHOLE_BODY: &str = "(body)";

/// An error for a body that does not match its message type.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("field '{path}': {message}")]
pub struct BodyError {
    /// The path of the invalid field; `(body)` if the error concerns the whole body.
    pub path: String,
    /// What is wrong with the field.
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

/// Size and nesting limits of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The maximum length in bytes.
    pub max_bytes: usize,
    /// The maximum nesting depth: of messages in protobuf, of objects and arrays in JSON.
    pub max_depth: usize,
}

impl BodyLimits {
    /// The limits of a caller's request.
    pub const REQUEST: Self = Self {
        max_bytes: 256 * 1024,
        max_depth: 32,
    };
    /// The limits of a back end's reply.
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

/// Appends a field name to a path.
fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
