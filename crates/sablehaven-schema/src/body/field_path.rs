//! Where in a body a message stands.

use std::fmt;

use prost_reflect::{DynamicMessage, FieldDescriptor, MapKey, Value};

use super::BodyError;

/// A message within a body. Only a chain of references, so that walking a body that fits allocates
/// nothing; the path is written out once a body is refused.
#[derive(Clone, Copy)]
pub(super) struct Place<'a> {
    parent: Option<&'a Place<'a>>,
    field: &'a FieldDescriptor,
    element: Element<'a>,
}

#[derive(Clone, Copy)]
enum Element<'a> {
    Single,
    Index(usize),
    Key(&'a MapKey),
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent {
            write!(formatter, "{parent}.")?;
        }
        formatter.write_str(self.field.name())?;
        match self.element {
            Element::Single => Ok(()),
            Element::Index(index) => write!(formatter, "[{index}]"),
            Element::Key(key) => write!(formatter, "[{}]", Value::from(key.clone())),
        }
    }
}

/// The path of a place; empty for the body itself.
pub(super) fn path_of(place: Option<&Place<'_>>) -> String {
    place.map(Place::to_string).unwrap_or_default()
}

/// Calls `visit` with each message directly inside another.
pub(super) fn for_each_inner(
    message: &DynamicMessage,
    parent: Option<&Place<'_>>,
    visit: &mut dyn FnMut(&DynamicMessage, &Place<'_>) -> Result<(), BodyError>,
) -> Result<(), BodyError> {
    for (field, value) in message.fields() {
        let field = &field;
        let mut visit_value = |value: &Value, element: Element<'_>| match value {
            Value::Message(inner) => visit(
                inner,
                &Place {
                    parent,
                    field,
                    element,
                },
            ),
            _ => Ok(()),
        };
        match value {
            Value::List(list) => {
                for (index, value) in list.iter().enumerate() {
                    visit_value(value, Element::Index(index))?;
                }
            }
            Value::Map(map) => {
                for (key, value) in map {
                    visit_value(value, Element::Key(key))?;
                }
            }
            single => visit_value(single, Element::Single)?,
        }
    }
    Ok(())
}
