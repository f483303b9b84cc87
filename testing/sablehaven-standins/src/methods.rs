//! How the methods of a schema are recorded.

use sablehaven_history::CallKind;
use sablehaven_schema::{FieldMerge, MethodKind, MethodSchema};

/// How a method's calls are recorded.
pub fn call_kind(method: &MethodSchema) -> CallKind {
    match &method.kind {
        MethodKind::Query { merge } => {
            let concatenates = |rule: &FieldMerge| matches!(rule, FieldMerge::Concatenate { .. });
            match merge.rules.iter().any(concatenates) {
                true => CallKind::QueryConcatenated,
                false => CallKind::QueryReduced,
            }
        }
        MethodKind::Lookup { .. } => CallKind::Lookup,
        MethodKind::Once { .. } => CallKind::Once,
    }
}
