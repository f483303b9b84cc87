//! A small schema with every kind of method, shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use prost_reflect::{DynamicMessage, MessageDescriptor};
use sablehaven_schema::{DeploymentSchema, MethodSchema, decode_json};
use serde_json::Value;

/// The schema's text.
pub const SHOP: &str = include_str!("shop.proto");

/// The schema.
pub fn shop() -> DeploymentSchema {
    parse(SHOP)
}

/// A schema that must be valid.
pub fn parse(text: &str) -> DeploymentSchema {
    DeploymentSchema::parse("shop.proto", text)
        .unwrap_or_else(|problems| panic!("the schema is valid: {problems:#?}"))
}

/// A method of the schema's only service.
pub fn method(schema: &DeploymentSchema, name: &str) -> MethodSchema {
    schema
        .method(&"shop.Shop".into(), name)
        .expect("the method exists")
        .clone()
}

/// A message from JSON that fits it.
pub fn message(descriptor: &MessageDescriptor, json: Value) -> DynamicMessage {
    decode_json(descriptor, json.to_string().as_bytes()).expect("the JSON fits the message")
}
