//! The shard that a key belongs to.
//!
//! A change here moves keys between shards of indexes that are already built, so the mapping must
//! never change; test vectors pin it.

use prost_reflect::{DynamicMessage, FieldDescriptor, Value};
use sablehaven_types::ShardId;
use xxhash_rust::xxh3::xxh3_64;

use crate::schema::{MethodKind, MethodSchema};

/// Why a request belongs to no shard.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum KeyError {
    /// method '{0}' asks every shard and has no key
    NoKey(String),
    /// the service's partition map has no shards
    NoShards,
}

/// The shard that a request belongs to.
///
/// The key's bytes (UTF-8 for text, eight bytes little-endian two's complement for whole numbers) are
/// hashed with XXH3 (64 bits, seed 0); see [`shard_of_hash`] for the rest.
pub fn shard_for_key(
    method: &MethodSchema,
    request: &DynamicMessage,
    shard_count: u32,
) -> Result<ShardId, KeyError> {
    let (MethodKind::Lookup { key } | MethodKind::Once { key }) = &method.kind else {
        return Err(KeyError::NoKey(method.path.clone()));
    };
    if shard_count == 0 {
        return Err(KeyError::NoShards);
    }
    Ok(shard_of_hash(hash_of_key(key, request), shard_count))
}

/// The shard of a hash: the hash's range is cut into `shard_count` equal parts (Lemire, "Fast random
/// integer generation in an interval", 2019).
///
/// Doubling the number of shards splits each one in two, which is why this is not a remainder. A
/// count of 0 gives shard 0.
pub fn shard_of_hash(hash: u64, shard_count: u32) -> ShardId {
    let product = u128::from(hash) * u128::from(shard_count);
    let part = product >> u64::BITS;
    // The product is below 2^64 * shard_count, so the part is below shard_count.
    ShardId(u32::try_from(part).unwrap_or(u32::MAX))
}

fn hash_of_key(key: &FieldDescriptor, request: &DynamicMessage) -> u64 {
    match request.get_field(key).as_ref() {
        Value::String(text) => xxh3_64(text.as_bytes()),
        Value::Bytes(bytes) => xxh3_64(bytes),
        Value::I32(number) => xxh3_64(&i64::from(*number).to_le_bytes()),
        Value::I64(number) => xxh3_64(&number.to_le_bytes()),
        Value::U32(number) => xxh3_64(&u64::from(*number).to_le_bytes()),
        Value::U64(number) => xxh3_64(&number.to_le_bytes()),
        // The schema's checks refuse keys of other types.
        _ => xxh3_64(&[]),
    }
}
