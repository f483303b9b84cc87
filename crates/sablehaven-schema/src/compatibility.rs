//! Detects schema changes that break callers, back ends or existing indexes.

use std::collections::BTreeSet;

use prost_reflect::{EnumDescriptor, FieldDescriptor, Kind, MessageDescriptor};
use sablehaven_types::ServiceName;

use crate::schema::{DeploymentSchema, FieldMerge, Merge, MethodKind, MethodSchema};

/// A schema change that breaks a method in use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display, thiserror::Error)]
#[displaydoc("method {method}: {reason}")]
pub struct BreakingChange {
    /// The method's HTTP path.
    pub method: String,
    /// What changed.
    pub reason: String,
}

/// Returns every change from `old` to `new` that breaks a method of a service listed in `in_use`.
///
/// A change is breaking if a request or reply encoded under one schema would be rejected or
/// misinterpreted under the other, or if a key would map to a different shard. New methods, new
/// fields, new enum values and changed deadlines are not breaking.
pub fn check_change(
    old: &DeploymentSchema,
    new: &DeploymentSchema,
    in_use: &BTreeSet<ServiceName>,
) -> Vec<BreakingChange> {
    old.services()
        .filter(|service| in_use.contains(&service.name))
        .flat_map(|service| &service.methods)
        .flat_map(|method| check_method(method, new))
        .collect()
}

fn check_method(old: &MethodSchema, new_schema: &DeploymentSchema) -> Vec<BreakingChange> {
    let reasons = match new_schema.method(&old.service, &old.name) {
        None => vec!["is gone".to_owned()],
        Some(new) => method_reasons(old, new),
    };
    let breaking_change = |reason| BreakingChange {
        method: old.path.clone(),
        reason,
    };
    reasons.into_iter().map(breaking_change).collect()
}

fn method_reasons(old: &MethodSchema, new: &MethodSchema) -> Vec<String> {
    let mut reasons = kind_reasons(&old.kind, &new.kind);
    for (message_name, old, new) in [
        ("request", &old.input, &new.input),
        ("reply", &old.output, &new.output),
    ] {
        let mut comparison = MessageComparison::default();
        comparison.compare_messages(message_name, old, new);
        reasons.extend(comparison.reasons);
    }
    reasons
}

fn kind_reasons(old: &MethodKind, new: &MethodKind) -> Vec<String> {
    match (old, new) {
        (MethodKind::Query { merge: old }, MethodKind::Query { merge: new }) => {
            merge_reasons(old, new)
        }
        (MethodKind::Lookup { key: old }, MethodKind::Lookup { key: new })
        | (MethodKind::Once { key: old }, MethodKind::Once { key: new }) => key_reasons(old, new),
        _ => vec![format!("was a {}, is a {}", kind_name(old), kind_name(new))],
    }
}

fn kind_name(kind: &MethodKind) -> &'static str {
    match kind {
        MethodKind::Query { .. } => "query",
        MethodKind::Lookup { .. } => "lookup",
        MethodKind::Once { .. } => "once",
    }
}

fn key_reasons(old: &FieldDescriptor, new: &FieldDescriptor) -> Vec<String> {
    if old.number() == new.number() {
        return Vec::new();
    }
    vec![format!(
        "the key was '{}', is '{}', which moves keys to other shards",
        old.name(),
        new.name()
    )]
}

fn merge_reasons(old: &Merge, new: &Merge) -> Vec<String> {
    let mut reasons = Vec::new();
    for old_rule in &old.rules {
        let number = old_rule.field().number();
        let new_rule = new
            .rules
            .iter()
            .find(|rule| rule.field().number() == number);
        if let Some(new_rule) = new_rule {
            reasons.extend(rule_reason(old_rule, new_rule));
        }
    }
    reasons
}

fn rule_reason(old: &FieldMerge, new: &FieldMerge) -> Option<String> {
    let name = old.field().name();
    if merge_name(old) != merge_name(new) {
        return Some(format!(
            "the merge of '{name}' was {}, is {}",
            merge_name(old),
            merge_name(new)
        ));
    }
    match (old, new) {
        (FieldMerge::TopK { limit: old, .. }, FieldMerge::TopK { limit: new, .. })
            if new.maximum < old.maximum =>
        {
            Some(format!(
                "the maximum_limit of '{name}' was {}, is {}",
                old.maximum, new.maximum
            ))
        }
        _ => None,
    }
}

fn merge_name(rule: &FieldMerge) -> &'static str {
    match rule {
        FieldMerge::Concatenate { .. } => "concatenate",
        FieldMerge::TopK { .. } => "top_k",
        FieldMerge::Sum { .. } => "sum",
    }
}

/// Compares message types and, recursively, the types of their fields.
///
/// Each pair of types is compared only once, since types may be recursive.
#[derive(Default)]
struct MessageComparison {
    reasons: Vec<String>,
    compared_pairs: BTreeSet<(String, String)>,
}

impl MessageComparison {
    fn compare_messages(&mut self, path: &str, old: &MessageDescriptor, new: &MessageDescriptor) {
        let pair = (old.full_name().to_owned(), new.full_name().to_owned());
        if !self.compared_pairs.insert(pair) {
            return;
        }
        for old_field in old.fields() {
            let path = format!("{path}.{}", old_field.name());
            match new.get_field(old_field.number()) {
                None => self.reasons.push(format!("field '{path}' is gone")),
                Some(new_field) => self.compare_fields(&path, &old_field, &new_field),
            }
        }
    }

    fn compare_fields(&mut self, path: &str, old: &FieldDescriptor, new: &FieldDescriptor) {
        if old.name() != new.name() || old.json_name() != new.json_name() {
            self.reasons
                .push(format!("field '{path}' is now called '{}'", new.name()));
        }
        let (old_type, new_type) = (field_type(old), field_type(new));
        if old_type != new_type {
            self.reasons
                .push(format!("field '{path}' was {old_type}, is {new_type}"));
            return;
        }
        match (old.kind(), new.kind()) {
            (Kind::Message(old), Kind::Message(new)) => self.compare_messages(path, &old, &new),
            (Kind::Enum(old), Kind::Enum(new)) => self.compare_enums(path, &old, &new),
            _ => {}
        }
    }

    fn compare_enums(&mut self, path: &str, old: &EnumDescriptor, new: &EnumDescriptor) {
        for old_value in old.values() {
            let name = old_value.name();
            let number = new.get_value_by_name(name).map(|value| value.number());
            if number != Some(old_value.number()) {
                self.reasons.push(format!(
                    "field '{path}': value {name} is gone or has another number"
                ));
            }
        }
    }
}

/// Describes a field's type as far as its encoding depends on it, without the name of its message or
/// enum type.
fn field_type(field: &FieldDescriptor) -> String {
    let kind = match field.kind() {
        Kind::Message(_) => "message".to_owned(),
        Kind::Enum(_) => "enum".to_owned(),
        scalar => format!("{scalar:?}"),
    };
    let oneof = field
        .containing_oneof()
        .filter(|oneof| !oneof.is_synthetic());
    let oneof_suffix = oneof.map_or(String::new(), |oneof| {
        format!(" of oneof '{}'", oneof.name())
    });
    if field.is_map() {
        "a map".to_owned()
    } else if field.is_list() {
        format!("repeated {kind}")
    } else {
        format!("{kind}{oneof_suffix}")
    }
}
