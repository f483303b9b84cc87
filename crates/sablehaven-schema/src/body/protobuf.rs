//! Decodes and encodes protobuf bodies.

use prost::Message;
use prost_reflect::{DynamicMessage, MessageDescriptor, ReflectMessage};

use super::{
    BodyError, BodyLimits,
    depth::check_depth,
    field_path::{FieldPath, for_each_submessage, path_text},
    join_path,
    locate::locate_error,
};

/// Decodes a caller's request from protobuf.
///
/// Rejects unknown fields and bodies that exceed [`BodyLimits::REQUEST`].
pub fn decode_protobuf(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    let message = decode(descriptor, bytes, BodyLimits::REQUEST)?;
    reject_unknown_fields(&message, None)?;
    Ok(message)
}

/// Decodes a back end's reply from protobuf.
///
/// Accepts unknown fields, since a back end may be newer than the schema. Rejects bodies that exceed
/// [`BodyLimits::REPLY`].
pub fn decode_reply(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    decode(descriptor, bytes, BodyLimits::REPLY)
}

/// Encodes a message as protobuf.
pub fn encode_protobuf(message: &DynamicMessage) -> Vec<u8> {
    message.encode_to_vec()
}

fn decode(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
    limits: BodyLimits,
) -> Result<DynamicMessage, BodyError> {
    limits.check_bytes(bytes.len())?;
    let message = DynamicMessage::decode(descriptor.clone(), bytes)
        .map_err(|error| locate_error(descriptor, bytes, &error))?;
    check_depth(descriptor, &message, limits)?;
    Ok(message)
}

fn reject_unknown_fields(
    message: &DynamicMessage,
    path: Option<&FieldPath<'_>>,
) -> Result<(), BodyError> {
    if let Some(unknown) = message.unknown_fields().next() {
        let number = unknown.number();
        let unknown_path = join_path(&path_text(path), &number.to_string());
        let reason = format!(
            "message {} has no field number {number}",
            message.descriptor().full_name()
        );
        return Err(BodyError::new(unknown_path, reason));
    }
    for_each_submessage(message, path, &mut |inner, inner_path| {
        reject_unknown_fields(inner, Some(inner_path))
    })
}
