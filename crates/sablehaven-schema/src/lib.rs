//! Deployment schemas: the options that define sharding, retry safety and merging, their validation
//! and the generated clients.
//!
//! Each deployment has a schema, which is a single Protocol Buffers file. [`DeploymentSchema::parse`]
//! compiles it without external programs and reads the options of `sablehaven/options.proto`, which
//! is built in. A parsed schema is used to decode bodies ([`decode_json`], [`decode_protobuf`]), to map
//! keys to shards ([`shard_for_key`]) and to merge the shards' replies ([`merge()`]).

mod body;
mod compatibility;
mod compile;
mod configuration;
pub mod envelope;
mod field_problem;
mod field_rules;
pub mod fleet_file;
mod generate;
mod key;
mod locations;
mod merge;
mod nesting;
mod options;
mod problem;
mod rules;
mod schema;

pub use body::{
    BodyError, BodyLimits, decode_json, decode_protobuf, decode_reply, encode_json, encode_protobuf,
};
pub use compatibility::{BreakingChange, check_change};
pub use compile::{MAX_SCHEMA_BYTES, OPTIONS_FILE, OPTIONS_TEXT};
pub use configuration::{check_document, check_replacement};
pub use generate::{GenerateError, generate_client};
pub use key::{KeyError, shard_for_key, shard_of_hash};
pub use merge::{MergeError, merge};
pub use problem::SchemaProblem;
pub use schema::{
    DeploymentSchema, ElementOrder, FieldMerge, Limit, Merge, MethodKind, MethodSchema,
    RegionSchema, ServiceSchema,
};
