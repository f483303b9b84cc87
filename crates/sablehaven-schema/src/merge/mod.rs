//! Merges the shards' replies to a query into one answer.
//!
//! The answer depends only on the request and on the replies by shard, never on their arrival.

mod order;

use std::collections::BTreeMap;

use prost_reflect::{DynamicMessage, FieldDescriptor, Value};
use sablehaven_types::ShardId;

use self::order::first_in_order;
use crate::schema::{FieldMerge, Limit, MethodKind, MethodSchema};

/// Why replies cannot be merged.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum MergeError {
    /// merge replies of '{0}': the method asks one shard only
    NotAQuery(String),
    /// merge replies of '{method}': the sum of field '{field}' does not fit its type
    Overflow {
        /// The method's path.
        method: String,
        /// The field of the reply.
        field: String,
    },
}

/// The answer to a query from the replies of the shards that answered.
///
/// Replies must be of the method's reply type.
pub fn merge(
    method: &MethodSchema,
    mut replies: BTreeMap<ShardId, DynamicMessage>,
    request: &DynamicMessage,
) -> Result<DynamicMessage, MergeError> {
    let MethodKind::Query { merge } = &method.kind else {
        return Err(MergeError::NotAQuery(method.path.clone()));
    };
    let mut answer = DynamicMessage::new(method.output.clone());
    for rule in &merge.rules {
        let value = match rule {
            FieldMerge::Concatenate { field, order } => {
                let elements = concatenate(&mut replies, field);
                Value::List(match order {
                    Some(order) => first_in_order(elements, order, usize::MAX),
                    None => elements,
                })
            }
            FieldMerge::TopK {
                field,
                order,
                limit,
            } => {
                let elements = concatenate(&mut replies, field);
                Value::List(first_in_order(elements, order, limit_of(limit, request)))
            }
            FieldMerge::Sum { field } => {
                sum(&replies, field).ok_or_else(|| MergeError::Overflow {
                    method: method.path.clone(),
                    field: field.name().to_owned(),
                })?
            }
        };
        answer.set_field(rule.field(), value);
    }
    Ok(answer)
}

/// The shards' lists one after the other.
fn concatenate(
    replies: &mut BTreeMap<ShardId, DynamicMessage>,
    field: &FieldDescriptor,
) -> Vec<Value> {
    let mut elements = Vec::new();
    for reply in replies.values_mut() {
        if let Some(Value::List(list)) = reply.take_field(field) {
            elements.extend(list);
        }
    }
    elements
}

fn limit_of(limit: &Limit, request: &DynamicMessage) -> usize {
    let requested = limit
        .field
        .as_ref()
        .and_then(|field| request.get_field(field).as_u32())
        .unwrap_or(0);
    let kept = match requested {
        0 => limit.default,
        given => given.min(limit.maximum),
    };
    usize::try_from(kept).unwrap_or(usize::MAX)
}

/// The sum in the order of the shards, so that rounding does not depend on arrival.
fn sum(replies: &BTreeMap<ShardId, DynamicMessage>, field: &FieldDescriptor) -> Option<Value> {
    let mut total = Value::default_value_for_field(field);
    for reply in replies.values() {
        total = add(&total, reply.get_field(field).as_ref())?;
    }
    Some(total)
}

fn add(left: &Value, right: &Value) -> Option<Value> {
    match (left, right) {
        (Value::I32(left), Value::I32(right)) => left.checked_add(*right).map(Value::I32),
        (Value::I64(left), Value::I64(right)) => left.checked_add(*right).map(Value::I64),
        (Value::U32(left), Value::U32(right)) => left.checked_add(*right).map(Value::U32),
        (Value::U64(left), Value::U64(right)) => left.checked_add(*right).map(Value::U64),
        (Value::F32(left), Value::F32(right)) => Some(Value::F32(left + right)),
        (Value::F64(left), Value::F64(right)) => Some(Value::F64(left + right)),
        // The schema's checks refuse a sum of other types.
        _ => None,
    }
}
