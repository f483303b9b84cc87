//! Merges the shards' replies to a query into one reply.
//!
//! The result depends only on the request and on each shard's reply, never on the order in which the
//! replies arrive.

mod order;

use std::collections::BTreeMap;

use prost_reflect::{DynamicMessage, FieldDescriptor, Value};
use sablehaven_types::ShardId;

use self::order::sort_and_truncate;
use crate::schema::{FieldMerge, Limit, MethodKind, MethodSchema};

/// Why the replies could not be merged.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum MergeError {
    /// merge replies of '{0}': the method asks one shard only
    NotAQuery(String),
    /// merge replies of '{method}': the sum of field '{field}' does not fit its type
    Overflow {
        /// The method's HTTP path.
        method: String,
        /// The field of the reply.
        field: String,
    },
}

/// Merges the replies of the shards that answered a query.
///
/// The replies must be of the method's reply type.
pub fn merge(
    method: &MethodSchema,
    mut replies: BTreeMap<ShardId, DynamicMessage>,
    request: &DynamicMessage,
) -> Result<DynamicMessage, MergeError> {
    let MethodKind::Query { merge } = &method.kind else {
        return Err(MergeError::NotAQuery(method.path.clone()));
    };
    let mut merged = DynamicMessage::new(method.output.clone());
    for rule in &merge.rules {
        let value = match rule {
            FieldMerge::Concatenate { field, order } => {
                let elements = concatenate(&mut replies, field);
                Value::List(match order {
                    Some(order) => sort_and_truncate(elements, order, usize::MAX),
                    None => elements,
                })
            }
            FieldMerge::TopK {
                field,
                order,
                limit,
            } => {
                let elements = concatenate(&mut replies, field);
                Value::List(sort_and_truncate(
                    elements,
                    order,
                    effective_limit(limit, request),
                ))
            }
            FieldMerge::Sum { field } => {
                sum(&replies, field).ok_or_else(|| MergeError::Overflow {
                    method: method.path.clone(),
                    field: field.name().to_owned(),
                })?
            }
        };
        merged.set_field(rule.field(), value);
    }
    Ok(merged)
}

/// Concatenates the shards' lists in the order of the shards.
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

/// The number of elements to keep: the request's limit, or the default if that is 0; never more than the
/// maximum.
fn effective_limit(limit: &Limit, request: &DynamicMessage) -> usize {
    let requested = limit
        .field
        .as_ref()
        .and_then(|field| request.get_field(field).as_u32())
        .unwrap_or(0);
    let limit = match requested {
        0 => limit.default,
        requested => requested.min(limit.maximum),
    };
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Adds the shards' numbers in the order of the shards, so that floating-point rounding does not depend
/// on the order of arrival. `None` on overflow.
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
        // Schema validation rejects sums of other types.
        _ => None,
    }
}
