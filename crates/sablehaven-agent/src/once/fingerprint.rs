//! The fingerprint of a request: a hash of its method and message that is independent of the
//! encoding, so that a resend as JSON matches an original request sent as protobuf.

use prost_reflect::{DynamicMessage, MapKey, Value};
use xxhash_rust::xxh3::Xxh3;

/// Hashes the path of a method and a message. Fields are hashed in the order of their numbers and
/// map entries in the order of their keys, because neither encoding fixes an order.
pub fn fingerprint(path: &str, message: &DynamicMessage) -> u64 {
    let mut hasher = Xxh3::new();
    hash_bytes(&mut hasher, path.as_bytes());
    hash_message(&mut hasher, message);
    hasher.digest()
}

fn hash_message(hasher: &mut Xxh3, message: &DynamicMessage) {
    let mut fields: Vec<_> = message.fields().collect();
    fields.sort_by_key(|(field, _)| field.number());
    hash_length(hasher, fields.len());
    for (field, value) in fields {
        hasher.update(&field.number().to_le_bytes());
        hash_value(hasher, value);
    }
}

fn hash_value(hasher: &mut Xxh3, value: &Value) {
    match value {
        Value::Bool(value) => hasher.update(&[u8::from(*value)]),
        Value::I32(value) => hasher.update(&value.to_le_bytes()),
        Value::I64(value) => hasher.update(&value.to_le_bytes()),
        Value::U32(value) => hasher.update(&value.to_le_bytes()),
        Value::U64(value) => hasher.update(&value.to_le_bytes()),
        Value::F32(value) => hasher.update(&value.to_bits().to_le_bytes()),
        Value::F64(value) => hasher.update(&value.to_bits().to_le_bytes()),
        Value::EnumNumber(value) => hasher.update(&value.to_le_bytes()),
        Value::String(value) => hash_bytes(hasher, value.as_bytes()),
        Value::Bytes(value) => hash_bytes(hasher, value),
        Value::Message(value) => hash_message(hasher, value),
        Value::List(values) => {
            hash_length(hasher, values.len());
            values.iter().for_each(|value| hash_value(hasher, value));
        }
        Value::Map(entries) => {
            let mut entries: Vec<_> = entries.iter().collect();
            entries.sort_by_key(|(key, _)| *key);
            hash_length(hasher, entries.len());
            for (key, value) in entries {
                hash_key(hasher, key);
                hash_value(hasher, value);
            }
        }
    }
}

fn hash_key(hasher: &mut Xxh3, key: &MapKey) {
    match key {
        MapKey::Bool(value) => hasher.update(&[u8::from(*value)]),
        MapKey::I32(value) => hasher.update(&value.to_le_bytes()),
        MapKey::I64(value) => hasher.update(&value.to_le_bytes()),
        MapKey::U32(value) => hasher.update(&value.to_le_bytes()),
        MapKey::U64(value) => hasher.update(&value.to_le_bytes()),
        MapKey::String(value) => hash_bytes(hasher, value.as_bytes()),
    }
}

/// Hashes the length first, so that different values never feed the same bytes to the hash.
fn hash_bytes(hasher: &mut Xxh3, bytes: &[u8]) {
    hash_length(hasher, bytes.len());
    hasher.update(bytes);
}

fn hash_length(hasher: &mut Xxh3, length: usize) {
    hasher.update(&(length as u64).to_le_bytes());
}
