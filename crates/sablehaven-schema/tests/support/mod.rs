//! A small schema with every kind of method, shared by the tests.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use prost_reflect::{DynamicMessage, MessageDescriptor};
use sablehaven_schema::{DeploymentSchema, MethodSchema, decode_json};
use serde_json::Value;

/// The text of the schema.
pub const SHOP: &str = include_str!("shop.proto");

/// The parsed schema.
pub fn shop() -> DeploymentSchema {
    parse(SHOP)
}

/// Parses a schema that must be valid.
pub fn parse(text: &str) -> DeploymentSchema {
    DeploymentSchema::parse("shop.proto", text)
        .unwrap_or_else(|problems| panic!("the schema is valid: {problems:#?}"))
}

/// A method of the service `shop.Shop`.
pub fn method(schema: &DeploymentSchema, name: &str) -> MethodSchema {
    schema
        .method(&"shop.Shop".into(), name)
        .expect("the method exists")
        .clone()
}

/// Decodes a message from valid JSON.
pub fn message(descriptor: &MessageDescriptor, json: Value) -> DynamicMessage {
    decode_json(descriptor, json.to_string().as_bytes()).expect("the JSON matches the message")
}
