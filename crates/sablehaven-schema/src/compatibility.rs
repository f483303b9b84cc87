//! Finds changes of a schema that would break callers, back ends or indexes that are in use.

use std::collections::BTreeSet;

use prost_reflect::{EnumDescriptor, FieldDescriptor, Kind, MessageDescriptor};
use sablehaven_types::ServiceName;

use crate::schema::{DeploymentSchema, FieldMerge, Merge, MethodKind, MethodSchema};

/// A change that breaks a method in use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display, thiserror::Error)]
#[displaydoc("method {method}: {reason}")]
pub struct BreakingChange {
    /// The method's path.
    pub method: String,
    /// What changed.
    pub reason: String,
}

/// Every change from `old` to `new` that breaks a method of a service `in_use`.
///
/// A change breaks if a request or reply written for one schema would be refused or misread under
/// the other, or if a key would be looked for in another shard. New methods, new fields, new enum
/// values and other deadlines break nothing.
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
        Some(new) => reasons_of_method(old, new),
    };
    let breaking = |reason| BreakingChange {
        method: old.path.clone(),
        reason,
    };
    reasons.into_iter().map(breaking).collect()
}

fn reasons_of_method(old: &MethodSchema, new: &MethodSchema) -> Vec<String> {
    let mut reasons = reasons_of_kind(&old.kind, &new.kind);
    for (what, old, new) in [
        ("request", &old.input, &new.input),
        ("reply", &old.output, &new.output),
    ] {
        let mut comparison = Comparison::default();
        comparison.compare_messages(what, old, new);
        reasons.extend(comparison.reasons);
    }
    reasons
}

fn reasons_of_kind(old: &MethodKind, new: &MethodKind) -> Vec<String> {
    match (old, new) {
        (MethodKind::Query { merge: old }, MethodKind::Query { merge: new }) => {
            reasons_of_merge(old, new)
        }
        (MethodKind::Lookup { key: old }, MethodKind::Lookup { key: new })
        | (MethodKind::Once { key: old }, MethodKind::Once { key: new }) => {
            reasons_of_key(old, new)
        }
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

fn reasons_of_key(old: &FieldDescriptor, new: &FieldDescriptor) -> Vec<String> {
    if old.number() == new.number() {
        return Vec::new();
    }
    vec![format!(
        "the key was '{}', is '{}', which moves keys to other shards",
        old.name(),
        new.name()
    )]
}

fn reasons_of_merge(old: &Merge, new: &Merge) -> Vec<String> {
    let mut reasons = Vec::new();
    for old_rule in &old.rules {
        let number = old_rule.field().number();
        let new_rule = new
            .rules
            .iter()
            .find(|rule| rule.field().number() == number);
        if let Some(new_rule) = new_rule {
            reasons.extend(reason_of_rule(old_rule, new_rule));
        }
    }
    reasons
}

fn reason_of_rule(old: &FieldMerge, new: &FieldMerge) -> Option<String> {
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

/// Compares messages and all that they hold; each pair once, since messages may hold themselves.
#[derive(Default)]
struct Comparison {
    reasons: Vec<String>,
    compared: BTreeSet<(String, String)>,
}

impl Comparison {
    fn compare_messages(&mut self, path: &str, old: &MessageDescriptor, new: &MessageDescriptor) {
        let pair = (old.full_name().to_owned(), new.full_name().to_owned());
        if !self.compared.insert(pair) {
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
        let (old_shape, new_shape) = (shape(old), shape(new));
        if old_shape != new_shape {
            self.reasons
                .push(format!("field '{path}' was {old_shape}, is {new_shape}"));
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

/// What a field's encoding depends on, apart from the messages or enums that it holds.
fn shape(field: &FieldDescriptor) -> String {
    let kind = match field.kind() {
        Kind::Message(_) => "message".to_owned(),
        Kind::Enum(_) => "enum".to_owned(),
        scalar => format!("{scalar:?}"),
    };
    let oneof = field
        .containing_oneof()
        .filter(|oneof| !oneof.is_synthetic());
    let within = oneof.map_or(String::new(), |oneof| {
        format!(" of oneof '{}'", oneof.name())
    });
    if field.is_map() {
        "a map".to_owned()
    } else if field.is_list() {
        format!("repeated {kind}")
    } else {
        format!("{kind}{within}")
    }
}
