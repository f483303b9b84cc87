//! Finds the field at which a protobuf body fails to decode.
//!
//! The decoder's error does not name the field, so after a failure the body is traversed again.

use prost::{
    DecodeError,
    bytes::Buf,
    encoding::{DecodeContext, WireType, decode_key, decode_varint, skip_field},
};
use prost_reflect::{FieldDescriptor, Kind, MessageDescriptor};
use std::collections::BTreeMap;

use super::{BodyError, join_path};

/// The deepest nesting that is traversed; the decoder rejects deeper bodies.
const MAX_DEPTH: usize = 100;

/// Returns an error that names the first invalid field of a body that the decoder rejected with
/// `error`; names the whole body if the traversal finds no invalid field.
pub(super) fn locate_error(
    descriptor: &MessageDescriptor,
    bytes: &[u8],
    error: &DecodeError,
) -> BodyError {
    let mut buffer = bytes;
    match check_message(descriptor, &mut buffer, "", MAX_DEPTH) {
        Err(located) => located,
        Ok(()) => BodyError::new("", error.to_string()),
    }
}

fn check_message(
    descriptor: &MessageDescriptor,
    buffer: &mut &[u8],
    path: &str,
    remaining_depth: usize,
) -> Result<(), BodyError> {
    if remaining_depth == 0 {
        return Err(BodyError::new(
            path,
            format!("is nested more than {MAX_DEPTH} deep"),
        ));
    }
    let mut element_counts: BTreeMap<u32, usize> = BTreeMap::new();
    while buffer.has_remaining() {
        let (number, wire_type) =
            decode_key(buffer).map_err(|error| BodyError::new(path, error.to_string()))?;
        let Some(field) = descriptor.get_field(number) else {
            skip_field(wire_type, number, buffer, DecodeContext::default()).map_err(|error| {
                BodyError::new(join_path(path, &number.to_string()), error.to_string())
            })?;
            continue;
        };
        let index = element_counts.entry(number).or_default();
        let name = if field.is_list() || field.is_map() {
            format!("{}[{index}]", field.name())
        } else {
            field.name().to_owned()
        };
        *index += 1;
        check_field(
            &field,
            wire_type,
            buffer,
            &join_path(path, &name),
            remaining_depth,
        )?;
    }
    Ok(())
}

fn check_field(
    field: &FieldDescriptor,
    wire_type: WireType,
    buffer: &mut &[u8],
    path: &str,
    remaining_depth: usize,
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
        Kind::Message(inner) => check_message(&inner, &mut content, path, remaining_depth - 1),
        Kind::String => match std::str::from_utf8(content) {
            Ok(_) => Ok(()),
            Err(_) => Err(BodyError::new(path, "is not valid UTF-8")),
        },
        _ if packed => check_packed(&field.kind(), &mut content, path),
        _ => Ok(()),
    }
}

fn is_packable(field: &FieldDescriptor) -> bool {
    !matches!(field.kind(), Kind::String | Kind::Bytes | Kind::Message(_))
}

/// Splits a length-delimited value off the front of `buffer`.
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

fn check_packed(kind: &Kind, content: &mut &[u8], path: &str) -> Result<(), BodyError> {
    while content.has_remaining() {
        skip_field(kind.wire_type(), 1, content, DecodeContext::default())
            .map_err(|error| BodyError::new(path, error.to_string()))?;
    }
    Ok(())
}
