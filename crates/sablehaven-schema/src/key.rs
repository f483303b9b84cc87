//! Maps keys to shards.
//!
//! The mapping must never change, since a change would move keys between shards of indexes that are
//! already built. Test vectors in `tests/keys.rs` verify it.

use prost_reflect::{DynamicMessage, FieldDescriptor, Value};
use sablehaven_types::ShardId;
use xxhash_rust::xxh3::xxh3_64;

use crate::schema::{MethodKind, MethodSchema};

/// Why no shard could be determined for a request.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum KeyError {
    /// method '{0}' asks every shard and has no key
    NoKey(String),
    /// the service's partition map has no shards
    NoShards,
}

/// Returns the shard that holds a request's key.
///
/// The key's bytes are hashed with XXH3 (64 bits, seed 0): text as UTF-8, an integer as 64-bit
/// little-endian two's complement. [`shard_of_hash`] maps the hash to a shard.
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
    Ok(shard_of_hash(hash_key(key, request), shard_count))
}

/// Returns the shard of a hash: the range of the hash is divided into `shard_count` equal parts
/// (Lemire, "Fast random integer generation in an interval", 2019).
///
/// Unlike a remainder, this splits each shard in two when the number of shards is doubled. A
/// `shard_count` of 0 gives shard 0.
pub fn shard_of_hash(hash: u64, shard_count: u32) -> ShardId {
    let product = u128::from(hash) * u128::from(shard_count);
    let shard = product >> u64::BITS;
    // The product is below 2^64 * shard_count, so the shard is below shard_count.
    ShardId(u32::try_from(shard).unwrap_or(u32::MAX))
}

fn hash_key(key: &FieldDescriptor, request: &DynamicMessage) -> u64 {
    match request.get_field(key).as_ref() {
        Value::String(text) => xxh3_64(text.as_bytes()),
        Value::Bytes(bytes) => xxh3_64(bytes),
        Value::I32(number) => xxh3_64(&i64::from(*number).to_le_bytes()),
        Value::I64(number) => xxh3_64(&number.to_le_bytes()),
        Value::U32(number) => xxh3_64(&u64::from(*number).to_le_bytes()),
        Value::U64(number) => xxh3_64(&number.to_le_bytes()),
        // Schema validation rejects keys of other types.
        _ => xxh3_64(&[]),
    }
}
