//! Protobuf bodies.

use prost::Message;
use prost_reflect::{DynamicMessage, MessageDescriptor, ReflectMessage};

use super::{
    BodyError, BodyLimits,
    depth::check_depth,
    field_path::{Place, for_each_inner, path_of},
    join,
    locate::locate,
};

/// Reads a caller's request from protobuf.
///
/// Refuses fields that the message does not have, and anything over [`BodyLimits::REQUEST`].
pub fn decode_protobuf(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    let message = decode(descriptor, bytes, BodyLimits::REQUEST)?;
    refuse_unknown(&message, None)?;
    Ok(message)
}

/// Reads a back end's reply from protobuf.
///
/// Fields that the message does not have are accepted, since a back end may be newer than the
/// schema. Refuses anything over [`BodyLimits::REPLY`].
pub fn decode_reply(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
) -> Result<DynamicMessage, BodyError> {
    decode(descriptor, bytes, BodyLimits::REPLY)
}

/// Writes a message as protobuf.
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
        .map_err(|error| locate(descriptor, bytes, &error))?;
    check_depth(descriptor, &message, limits)?;
    Ok(message)
}

fn refuse_unknown(message: &DynamicMessage, place: Option<&Place<'_>>) -> Result<(), BodyError> {
    if let Some(unknown) = message.unknown_fields().next() {
        let number = unknown.number();
        let path = join(&path_of(place), &number.to_string());
        let reason = format!(
            "message {} has no field number {number}",
            message.descriptor().full_name()
        );
        return Err(BodyError::new(path, reason));
    }
    for_each_inner(message, place, &mut |inner, inner_place| {
        refuse_unknown(inner, Some(inner_place))
    })
}
