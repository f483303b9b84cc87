//! JSON bodies, in the canonical mapping of Protocol Buffers.

use prost_reflect::{DynamicMessage, MessageDescriptor, SerializeOptions};
use serde::de::DeserializeSeed;
use serde_path_to_error::{Deserializer, Track};

use super::{BodyError, BodyLimits, unique_keys::UniqueKeys};
use crate::nesting::check_json_nesting;

/// Reads a caller's request from JSON.
///
/// Refuses unknown fields, keys given twice, and anything over [`BodyLimits::REQUEST`].
pub fn decode_json(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    let limits = BodyLimits::REQUEST;
    limits.check_bytes(bytes.len())?;
    check_json_nesting(bytes, limits.max_depth).map_err(|_| limits.too_deep(""))?;
    read(bytes, UniqueKeys)?;
    read(bytes, descriptor.clone())
}

/// Reads the whole of a JSON text; an error carries the path at which it arose.
fn read<'de, Seed: DeserializeSeed<'de>>(
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

/// The path of the value that was read last; a key that could not be read adds nothing to it.
fn path_text(track: Track) -> String {
    let path = track.path().to_string();
    path.trim_end_matches(['?', '.']).to_owned()
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
