//! Decodes and encodes JSON bodies in the canonical JSON mapping of Protocol Buffers.

use prost_reflect::{DynamicMessage, MessageDescriptor, SerializeOptions};
use serde::de::DeserializeSeed;
use serde_path_to_error::{Deserializer, Track};

use super::{BodyError, BodyLimits, unique_keys::UniqueKeys};
use crate::nesting::check_json_nesting;

/// Decodes a caller's request from JSON.
///
/// Rejects unknown fields, duplicate keys, and bodies that exceed [`BodyLimits::REQUEST`].
pub fn decode_json(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    let limits = BodyLimits::REQUEST;
    limits.check_bytes(bytes.len())?;
    check_json_nesting(bytes, limits.max_depth).map_err(|_| limits.too_deep(""))?;
    deserialize(bytes, UniqueKeys)?;
    deserialize(bytes, descriptor.clone())
}

/// Deserializes a JSON text and rejects trailing characters; an error carries the path of the value at
/// which it occurred.
fn deserialize<'de, Seed: DeserializeSeed<'de>>(
    bytes: &'de [u8],
    seed: Seed,
) -> Result<Seed::Value, BodyError> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let mut track = Track::new();
    let value = seed
        .deserialize(Deserializer::new(&mut json, &mut track))
        .map_err(|error| BodyError::new(path_text(track), error.to_string()))?;
    json.end()
        .map_err(|error| BodyError::new("", error.to_string()))?;
    Ok(value)
}

/// The path of the value that was deserialized last, without the trailing `?` or `.` that the tracker
/// writes for a key that it could not read.
fn path_text(track: Track) -> String {
    let path = track.path().to_string();
    path.trim_end_matches(['?', '.']).to_owned()
}

/// Encodes a message as JSON, including fields that have their default value.
///
/// Fails only for values that the JSON mapping cannot represent, such as a timestamp out of range.
pub fn encode_json(message: &DynamicMessage) -> Result<serde_json::Value, BodyError> {
    let options = SerializeOptions::new().skip_default_fields(false);
    message
        .serialize_with_options(serde_json::value::Serializer, &options)
        .map_err(|error| BodyError::new("", error.to_string()))
}
