//! The path of a message within a body.

use std::fmt;

use prost_reflect::{DynamicMessage, FieldDescriptor, MapKey, Value};

use super::BodyError;

/// The path of a message within a body, as a linked list on the stack.
///
/// Traversing a valid body thus allocates nothing; the path is formatted only for an error.
#[derive(Clone, Copy)]
pub(super) struct FieldPath<'a> {
    parent: Option<&'a FieldPath<'a>>,
    field: &'a FieldDescriptor,
    subscript: Subscript<'a>,
}

/// Selects one message of a field.
#[derive(Clone, Copy)]
enum Subscript<'a> {
    /// The field is neither a list nor a map.
    Singular,
    Index(usize),
    Key(&'a MapKey),
}

impl fmt::Display for FieldPath<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent {
            write!(formatter, "{parent}.")?;
        }
        formatter.write_str(self.field.name())?;
        match self.subscript {
            Subscript::Singular => Ok(()),
            Subscript::Index(index) => write!(formatter, "[{index}]"),
            Subscript::Key(key) => write!(formatter, "[{}]", Value::from(key.clone())),
        }
    }
}

/// Formats a path; empty for the body itself.
pub(super) fn path_text(path: Option<&FieldPath<'_>>) -> String {
    path.map(FieldPath::to_string).unwrap_or_default()
}

/// Calls `visit` with each message that is a direct field value, list element or map value of
/// `message`.
pub(super) fn for_each_submessage(
    message: &DynamicMessage,
    parent: Option<&FieldPath<'_>>,
    visit: &mut dyn FnMut(&DynamicMessage, &FieldPath<'_>) -> Result<(), BodyError>,
) -> Result<(), BodyError> {
    for (field, value) in message.fields() {
        let field = &field;
        let mut visit_value = |value: &Value, subscript: Subscript<'_>| match value {
            Value::Message(inner) => visit(
                inner,
                &FieldPath {
                    parent,
                    field,
                    subscript,
                },
            ),
            _ => Ok(()),
        };
        match value {
            Value::List(list) => {
                for (index, value) in list.iter().enumerate() {
                    visit_value(value, Subscript::Index(index))?;
                }
            }
            Value::Map(map) => {
                for (key, value) in map {
                    visit_value(value, Subscript::Key(key))?;
                }
            }
            singular => visit_value(singular, Subscript::Singular)?,
        }
    }
    Ok(())
}
