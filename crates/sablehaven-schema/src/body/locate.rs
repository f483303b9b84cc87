//! Finds the field at which a protobuf body stops fitting its message.
//!
//! The decoder says what is wrong but not where, so after a failure the body is walked once more.

use prost::{
    DecodeError,
    bytes::Buf,
    encoding::{DecodeContext, WireType, decode_key, decode_varint, skip_field},
};
use prost_reflect::{FieldDescriptor, Kind, MessageDescriptor};
use std::collections::BTreeMap;

use super::{BodyError, join};

/// The deepest nesting that is walked; the decoder refuses deeper bodies.
const MAX_DEPTH: usize = 100;

/// Describes a body that the decoder refused with `error`.
pub(super) fn locate(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
    error: &DecodeError,
) -> BodyError {
    let mut buffer = bytes;
    match walk_message(descriptor, &mut buffer, "", MAX_DEPTH) {
        Err(found) => found,
        Ok(()) => BodyError::new("", error.to_string()),
    }
}

fn walk_message(
    descriptor: &MessageDescriptor,
    buffer: &mut &[u8],
    path: &str,
    depth: usize,
) -> Result<(), BodyError> {
    if depth == 0 {
        return Err(BodyError::new(
            path,
            format!("is nested more than {MAX_DEPTH} deep"),
        ));
    }
    let mut elements: BTreeMap<u32, usize> = BTreeMap::new();
    while buffer.has_remaining() {
        let (number, wire_type) =
            decode_key(buffer).map_err(|error| BodyError::new(path, error.to_string()))?;
        let Some(field) = descriptor.get_field(number) else {
            skip_field(wire_type, number, buffer, DecodeContext::default()).map_err(|error| {
                BodyError::new(join(path, &number.to_string()), error.to_string())
            })?;
            continue;
        };
        let index = elements.entry(number).or_default();
        let name = if field.is_list() || field.is_map() {
            format!("{}[{index}]", field.name())
        } else {
            field.name().to_owned()
        };
        *index += 1;
        walk_field(&field, wire_type, buffer, &join(path, &name), depth)?;
    }
    Ok(())
}

fn walk_field(
    field: &FieldDescriptor,
    wire_type: WireType,
    buffer: &mut &[u8],
    path: &str,
    depth: usize,
) -> Result<(), BodyError> {
    let packed = field.is_list() && wire_type == WireType::LengthDelimited && is_packable(field);
    let expected = field.kind().wire_type();
    if wire_type != expected && !packed {
        return Err(BodyError::new(
            path,
            format!(
                "is sent as {wire_type:?}, but type {:?} needs {expected:?}",
                field.kind()
            ),
        ));
    }
    if wire_type != WireType::LengthDelimited {
        return skip_field(wire_type, field.number(), buffer, DecodeContext::default())
            .map_err(|error| BodyError::new(path, error.to_string()));
    }
    let mut content = take_delimited(buffer, path)?;
    match field.kind() {
        Kind::Message(inner) => walk_message(&inner, &mut content, path, depth - 1),
        Kind::String => match std::str::from_utf8(content) {
            Ok(_) => Ok(()),
            Err(_) => Err(BodyError::new(path, "is not valid UTF-8")),
        },
        _ if packed => walk_packed(&field.kind(), &mut content, path),
        _ => Ok(()),
    }
}

fn is_packable(field: &FieldDescriptor) -> bool {
    !matches!(field.kind(), Kind::String | Kind::Bytes | Kind::Message(_))
}

fn take_delimited<'a>(buffer: &mut &'a [u8], path: &str) -> Result<&'a [u8], BodyError> {
    let length = decode_varint(buffer).map_err(|error| BodyError::new(path, error.to_string()))?;
    let content = usize::try_from(length)
        .ok()
        .and_then(|length| buffer.split_at_checked(length));
    let Some((content, rest)) = content else {
        return Err(BodyError::new(
            path,
            format!("says {length} bytes, but {} are left", buffer.len()),
        ));
    };
    *buffer = rest;
    Ok(content)
}

fn walk_packed(kind: &Kind, content: &mut &[u8], path: &str) -> Result<(), BodyError> {
    while content.has_remaining() {
        skip_field(kind.wire_type(), 1, content, DecodeContext::default())
            .map_err(|error| BodyError::new(path, error.to_string()))?;
    }
    Ok(())
}
