//! Resolves the field names in a method's options to fields of its request and reply.

use std::collections::BTreeSet;

use prost_reflect::{FieldDescriptor, Kind, MessageDescriptor};

use crate::{
    field_problem::FieldProblem,
    options::{Concatenate, Query, TopK, number},
    schema::{ElementOrder, FieldMerge, Limit},
};

/// The maximum number of elements that a top-k merge may keep.
const MAX_TOP_K_LIMIT: u32 = 10_000;

/// A problem with the merge rules of a query.
pub(crate) struct MergeProblem {
    /// The field number within the `Query` option, if the problem concerns a single field.
    pub query_field: Option<u32>,
    /// The problem.
    pub problem: FieldProblem,
}

/// The merge rules of a query that could be resolved, and the problems with the others.
#[derive(Default)]
pub(crate) struct ResolvedMerge {
    pub rules: Vec<FieldMerge>,
    pub problems: Vec<MergeProblem>,
}

impl ResolvedMerge {
    fn add(&mut self, query_field: u32, rule: Result<FieldMerge, FieldProblem>) {
        match rule {
            Ok(rule) => self.rules.push(rule),
            Err(problem) => self.problems.push(MergeProblem {
                query_field: Some(query_field),
                problem,
            }),
        }
    }
}

/// Resolves the key: the field of the request whose hash determines the shard.
pub(crate) fn key_field(
    input: &MessageDescriptor,
    name: &str,
) -> Result<FieldDescriptor, FieldProblem> {
    if name.is_empty() {
        return Err(FieldProblem::of_whole_option(
            "the option names no key".to_owned(),
        ));
    }
    let field = resolve_field(input, name)?;
    if field.is_list() || field.is_map() {
        return Err(FieldProblem::of_name(
            name,
            format!("key '{name}' is repeated, but must be a single value"),
        ));
    }
    if !is_key_kind(&field.kind()) {
        return Err(FieldProblem::of_name(
            name,
            format!(
                "key '{name}' has type {:?}, but must be text, bytes or a whole number",
                field.kind()
            ),
        ));
    }
    Ok(field)
}

/// Resolves the merge rules of a query; every field of the reply must have exactly one.
pub(crate) fn merge_rules(
    input: &MessageDescriptor,
    output: &MessageDescriptor,
    query: &Query,
) -> ResolvedMerge {
    let mut resolved = ResolvedMerge::default();
    for rule in &query.concatenate {
        resolved.add(number::QUERY_CONCATENATE, concatenate(output, rule));
    }
    for rule in &query.top_k {
        resolved.add(number::QUERY_TOP_K, top_k(input, output, rule));
    }
    for name in query.sum.iter().flat_map(|sum| &sum.fields) {
        resolved.add(number::QUERY_SUM, sum(output, name));
    }
    check_each_field_once(output, query, &mut resolved);
    resolved
}

fn check_each_field_once(output: &MessageDescriptor, query: &Query, resolved: &mut ResolvedMerge) {
    let concatenated = query.concatenate.iter().map(|rule| &rule.field);
    let top_k = query.top_k.iter().map(|rule| &rule.field);
    let summed = query.sum.iter().flat_map(|sum| &sum.fields);
    let mut names = BTreeSet::new();
    for name in concatenated.chain(top_k).chain(summed) {
        if !names.insert(name.as_str()) {
            resolved.problems.push(MergeProblem {
                query_field: None,
                problem: FieldProblem::of_whole_option(format!(
                    "field '{name}' of the reply has more than one merge"
                )),
            });
        }
    }
    for field in output.fields() {
        if !names.contains(field.name()) {
            resolved.problems.push(MergeProblem {
                query_field: None,
                problem: FieldProblem::of_whole_option(format!(
                    "field '{}' of the reply {} has no merge (concatenate, top_k or sum)",
                    field.name(),
                    output.name()
                )),
            });
        }
    }
}

fn concatenate(output: &MessageDescriptor, rule: &Concatenate) -> Result<FieldMerge, FieldProblem> {
    let field = list_field(output, &rule.field)?;
    let order = if rule.order_by.is_empty() {
        None
    } else {
        Some(element_order(
            &field,
            &rule.order_by,
            rule.descending,
            &rule.tie_break,
        )?)
    };
    Ok(FieldMerge::Concatenate { field, order })
}

fn top_k(
    input: &MessageDescriptor,
    output: &MessageDescriptor,
    rule: &TopK,
) -> Result<FieldMerge, FieldProblem> {
    let field = list_field(output, &rule.field)?;
    if rule.order_by.is_empty() {
        return Err(FieldProblem::of_whole_option(format!(
            "top_k of '{}' names no order_by",
            rule.field
        )));
    }
    let order = element_order(&field, &rule.order_by, rule.descending, &rule.tie_break)?;
    let limit = limit(input, rule)?;
    Ok(FieldMerge::TopK {
        field,
        order,
        limit,
    })
}

fn limit(input: &MessageDescriptor, rule: &TopK) -> Result<Limit, FieldProblem> {
    let default = rule.default_limit;
    let maximum = match rule.maximum_limit {
        0 => default,
        maximum => maximum,
    };
    if !(1..=MAX_TOP_K_LIMIT).contains(&default) {
        return Err(FieldProblem::of_option_field(
            "default_limit",
            format!("default_limit is {default}, allowed is 1 to {MAX_TOP_K_LIMIT}"),
        ));
    }
    if !(default..=MAX_TOP_K_LIMIT).contains(&maximum) {
        return Err(FieldProblem::of_option_field(
            "maximum_limit",
            format!(
                "maximum_limit is {maximum}, allowed is the default_limit of {default} to {MAX_TOP_K_LIMIT}"
            ),
        ));
    }
    Ok(Limit {
        field: limit_field(input, &rule.limit)?,
        default,
        maximum,
    })
}

fn limit_field(
    input: &MessageDescriptor,
    name: &str,
) -> Result<Option<FieldDescriptor>, FieldProblem> {
    if name.is_empty() {
        return Ok(None);
    }
    let field = resolve_field(input, name)?;
    if field.is_list() || field.kind() != Kind::Uint32 {
        return Err(FieldProblem::of_name(
            name,
            format!("limit '{name}' must be a single uint32"),
        ));
    }
    Ok(Some(field))
}

fn sum(output: &MessageDescriptor, name: &str) -> Result<FieldMerge, FieldProblem> {
    let field = resolve_field(output, name)?;
    if field.is_list() || field.is_map() || !is_number_kind(&field.kind()) {
        return Err(FieldProblem::of_name(
            name,
            format!("sum of '{name}' must be of a single number"),
        ));
    }
    if field.containing_oneof().is_some() {
        return Err(FieldProblem::of_name(
            name,
            format!("sum of '{name}' must not be of an optional field or part of a oneof"),
        ));
    }
    Ok(FieldMerge::Sum { field })
}

fn element_order(
    list: &FieldDescriptor,
    by: &str,
    descending: bool,
    tie_break: &str,
) -> Result<ElementOrder, FieldProblem> {
    let tie_break = if tie_break.is_empty() {
        None
    } else {
        Some(sort_field(list, tie_break)?)
    };
    Ok(ElementOrder {
        by: sort_field(list, by)?,
        descending,
        tie_break,
    })
}

fn sort_field(list: &FieldDescriptor, name: &str) -> Result<FieldDescriptor, FieldProblem> {
    let Kind::Message(element) = list.kind() else {
        return Err(FieldProblem::of_name(
            name,
            format!(
                "list '{}' holds no messages, so it cannot be ordered by '{name}'",
                list.name()
            ),
        ));
    };
    let field = resolve_field(&element, name)?;
    let is_comparable = is_number_kind(&field.kind()) || field.kind() == Kind::String;
    if field.is_list() || field.is_map() || !is_comparable {
        return Err(FieldProblem::of_name(
            name,
            format!(
                "list '{}' cannot be ordered by '{name}', which is no single number or text",
                list.name()
            ),
        ));
    }
    Ok(field)
}

fn list_field(output: &MessageDescriptor, name: &str) -> Result<FieldDescriptor, FieldProblem> {
    let field = resolve_field(output, name)?;
    if !field.is_list() {
        return Err(FieldProblem::of_name(
            name,
            format!("field '{name}' of the reply is no list"),
        ));
    }
    Ok(field)
}

fn resolve_field(message: &MessageDescriptor, name: &str) -> Result<FieldDescriptor, FieldProblem> {
    message.get_field_by_name(name).ok_or_else(|| {
        let reason = format!("message {} has no field '{name}'", message.full_name());
        FieldProblem::of_name(name, reason)
    })
}

fn is_key_kind(kind: &Kind) -> bool {
    matches!(kind, Kind::String | Kind::Bytes) || is_integer_kind(kind)
}

fn is_number_kind(kind: &Kind) -> bool {
    matches!(kind, Kind::Double | Kind::Float) || is_integer_kind(kind)
}

fn is_integer_kind(kind: &Kind) -> bool {
    matches!(
        kind,
        Kind::Int32
            | Kind::Int64
            | Kind::Uint32
            | Kind::Uint64
            | Kind::Sint32
            | Kind::Sint64
            | Kind::Fixed32
            | Kind::Fixed64
            | Kind::Sfixed32
            | Kind::Sfixed64
    )
}
