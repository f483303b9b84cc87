//! A hash of a method and a request that does not depend on how the request was encoded.
//!
//! The ledger refuses a resend whose fingerprint differs. Agents of different versions must agree, so
//! the hash must never change; test vectors pin it.

use prost_reflect::{DynamicMessage, MapKey, Value};
use xxhash_rust::xxh3::Xxh3Default;

use crate::schema::MethodSchema;

/// Marks that keep neighbouring values apart.
mod mark {
    pub(super) const FIELD: u8 = 1;
    pub(super) const LIST: u8 = 2;
    pub(super) const MAP: u8 = 3;
    pub(super) const MESSAGE: u8 = 4;
    pub(super) const SCALAR: u8 = 5;
}

/// The fingerprint of a request: XXH3 (64 bits, seed 0) over the method's path and the set fields in
/// the order of their numbers, maps in the order of their keys.
///
/// JSON and protobuf bodies of the same request have the same one.
pub fn fingerprint(method: &MethodSchema, request: &DynamicMessage) -> u64 {
    let mut hash = Xxh3Default::new();
    update_bytes(&mut hash, method.path.as_bytes());
    update_message(&mut hash, request);
    hash.digest()
}

fn update_message(hash: &mut Xxh3Default, message: &DynamicMessage) {
    hash.update(&[mark::MESSAGE]);
    let mut fields: Vec<_> = message.fields().collect();
    fields.sort_by_key(|(field, _)| field.number());
    update_length(hash, fields.len());
    for (field, value) in fields {
        hash.update(&[mark::FIELD]);
        hash.update(&field.number().to_le_bytes());
        update_value(hash, value);
    }
}

fn update_value(hash: &mut Xxh3Default, value: &Value) {
    match value {
        Value::Bool(value) => update_scalar(hash, &[u8::from(*value)]),
        Value::I32(value) | Value::EnumNumber(value) => update_scalar(hash, &value.to_le_bytes()),
        Value::I64(value) => update_scalar(hash, &value.to_le_bytes()),
        Value::U32(value) => update_scalar(hash, &value.to_le_bytes()),
        Value::U64(value) => update_scalar(hash, &value.to_le_bytes()),
        Value::F32(value) => update_scalar(hash, &value.to_bits().to_le_bytes()),
        Value::F64(value) => update_scalar(hash, &value.to_bits().to_le_bytes()),
        Value::String(value) => update_scalar(hash, value.as_bytes()),
        Value::Bytes(value) => update_scalar(hash, value),
        Value::Message(value) => update_message(hash, value),
        Value::List(values) => {
            hash.update(&[mark::LIST]);
            update_length(hash, values.len());
            for value in values {
                update_value(hash, value);
            }
        }
        Value::Map(entries) => {
            let mut entries: Vec<(&MapKey, &Value)> = entries.iter().collect();
            entries.sort_by_key(|(key, _)| *key);
            hash.update(&[mark::MAP]);
            update_length(hash, entries.len());
            for (key, value) in entries {
                update_value(hash, &Value::from(key.clone()));
                update_value(hash, value);
            }
        }
    }
}

fn update_scalar(hash: &mut Xxh3Default, bytes: &[u8]) {
    hash.update(&[mark::SCALAR]);
    update_bytes(hash, bytes);
}

fn update_bytes(hash: &mut Xxh3Default, bytes: &[u8]) {
    update_length(hash, bytes.len());
    hash.update(bytes);
}

fn update_length(hash: &mut Xxh3Default, length: usize) {
    hash.update(&u64::try_from(length).unwrap_or(u64::MAX).to_le_bytes());
}
