//! JSON bodies, in the canonical mapping of Protocol Buffers.

use prost_reflect::{DynamicMessage, MessageDescriptor, SerializeOptions};

use super::{BodyError, BodyLimits};
use crate::nesting::check_json_nesting;

/// Reads a caller's request from JSON.
///
/// Refuses unknown fields, fields given twice, and anything over [`BodyLimits::REQUEST`].
pub fn decode_json(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    let limits = BodyLimits::REQUEST;
    limits.check_bytes(bytes.len())?;
    check_json_nesting(bytes, limits.max_depth).map_err(|_| limits.too_deep(""))?;
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut deserializer, &mut track);
    let message = DynamicMessage::deserialize(descriptor.clone(), tracked);
    let message =
        message.map_err(|error| BodyError::new(track.path().to_string(), error.to_string()))?;
    deserializer
        .end()
        .map_err(|error| BodyError::new("", error.to_string()))?;
    Ok(message)
}

/// Writes a message as JSON; fields with their default value are written too.
///
/// Fails only for values that JSON's mapping cannot express, such as a time stamp out of range.
pub fn encode_json(message: &DynamicMessage) -> Result<serde_json::Value, BodyError> {
    let options = SerializeOptions::new().skip_default_fields(false);
    message
        .serialize_with_options(serde_json::value::Serializer, &options)
        .map_err(|error| BodyError::new("", error.to_string()))
}
