//! Validates a decoded request against its method's rules.

use prost_reflect::DynamicMessage;

use super::BodyError;
use crate::schema::{FieldMerge, Limit, MethodKind, MethodSchema};

impl MethodSchema {
    /// Checks that the request has the key by which its method chooses the shard, and that no limit in a
    /// query exceeds its maximum.
    pub fn check_request(&self, request: &DynamicMessage) -> Result<(), BodyError> {
        match &self.kind {
            MethodKind::Lookup { key } | MethodKind::Once { key } => {
                if request.has_field(key) {
                    return Ok(());
                }
                Err(BodyError::new(
                    key.name(),
                    "is missing, but chooses the shard",
                ))
            }
            MethodKind::Query { merge } => {
                for rule in &merge.rules {
                    if let FieldMerge::TopK { limit, .. } = rule {
                        check_limit(limit, request)?;
                    }
                }
                Ok(())
            }
        }
    }
}

fn check_limit(limit: &Limit, request: &DynamicMessage) -> Result<(), BodyError> {
    let Some(field) = &limit.field else {
        return Ok(());
    };
    let requested = request.get_field(field).as_u32().unwrap_or(0);
    if requested <= limit.maximum {
        return Ok(());
    }
    Err(BodyError::new(
        field.name(),
        format!("is {requested}, allowed is at most {}", limit.maximum),
    ))
}
