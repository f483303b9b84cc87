//! Rust types for the options in `sablehaven/options.proto`.

use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};

/// The field number of all three extensions; each extends a different message.
pub(crate) const EXTENSION_NUMBER: u32 = 51_200;
/// The name of the file option.
pub(crate) const DEPLOYMENT: &str = "sablehaven.deployment";
/// The name of the service option.
pub(crate) const SERVICE: &str = "sablehaven.service";
/// The name of the method option.
pub(crate) const METHOD: &str = "sablehaven.method";

/// Field numbers in the option messages, for source paths.
pub(crate) mod number {
    pub(crate) const DEPLOYMENT_REGIONS: u32 = 1;
    pub(crate) const RULE_DEADLINE_MS: u32 = 1;
    pub(crate) const RULE_QUERY: u32 = 2;
    pub(crate) const RULE_LOOKUP: u32 = 3;
    pub(crate) const RULE_ONCE: u32 = 4;
    pub(crate) const QUERY_CONCATENATE: u32 = 1;
    pub(crate) const QUERY_TOP_K: u32 = 2;
    pub(crate) const QUERY_SUM: u32 = 3;
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Deployment {
    #[prost(message, repeated, tag = "1")]
    pub regions: Vec<Region>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Region {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub zones: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct ServiceRule {
    #[prost(uint32, tag = "1")]
    pub maximum_shards: u32,
    #[prost(uint32, tag = "2")]
    pub minimum_replicas: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct MethodRule {
    #[prost(uint32, tag = "1")]
    pub deadline_ms: u32,
    #[prost(oneof = "Kind", tags = "2, 3, 4")]
    pub kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Kind {
    #[prost(message, tag = "2")]
    Query(Query),
    #[prost(message, tag = "3")]
    Lookup(Key),
    #[prost(message, tag = "4")]
    Once(Key),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Query {
    #[prost(message, repeated, tag = "1")]
    pub concatenate: Vec<Concatenate>,
    #[prost(message, repeated, tag = "2")]
    pub top_k: Vec<TopK>,
    #[prost(message, optional, tag = "3")]
    pub sum: Option<Sum>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Concatenate {
    #[prost(string, tag = "1")]
    pub field: String,
    #[prost(string, tag = "2")]
    pub order_by: String,
    #[prost(bool, tag = "3")]
    pub descending: bool,
    #[prost(string, tag = "4")]
    pub tie_break: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct TopK {
    #[prost(string, tag = "1")]
    pub field: String,
    #[prost(string, tag = "2")]
    pub order_by: String,
    #[prost(bool, tag = "3")]
    pub descending: bool,
    #[prost(string, tag = "4")]
    pub tie_break: String,
    #[prost(string, tag = "5")]
    pub limit: String,
    #[prost(uint32, tag = "6")]
    pub default_limit: u32,
    #[prost(uint32, tag = "7")]
    pub maximum_limit: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Sum {
    #[prost(string, repeated, tag = "1")]
    pub fields: Vec<String>,
}

/// The messages `Lookup` and `Once`, which have the same fields.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Key {
    #[prost(string, tag = "1")]
    pub key: String,
}

/// Reads an extension from a descriptor's options, if it is set.
///
/// A schema that does not import the options file sets none of the extensions.
pub(crate) fn read_extension<Extension: Message + Default>(
    pool: &DescriptorPool,
    options: &DynamicMessage,
    extension: &str,
) -> Option<Extension> {
    let extension = pool.get_extension_by_name(extension)?;
    if !options.has_extension(&extension) {
        return None;
    }
    options
        .get_extension(&extension)
        .as_message()?
        .transcode_to()
        .ok()
}
