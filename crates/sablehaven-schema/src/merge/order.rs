//! Sorts the elements of a merged list and keeps the first of them.

use std::{borrow::Cow, cmp::Ordering};

use prost_reflect::{DynamicMessage, FieldDescriptor, Value};

use crate::schema::ElementOrder;

/// The first `keep` of the elements in their order; equal ones stay as they were.
pub(super) fn first_in_order(
    elements: Vec<Value>,
    order: &ElementOrder,
    keep: usize,
) -> Vec<Value> {
    let positions = positions_in_order(&elements, order, keep);
    let mut elements: Vec<Option<Value>> = elements.into_iter().map(Some).collect();
    positions
        .into_iter()
        .filter_map(|position| elements[position].take())
        .collect()
}

/// Where in the list the elements stand that come first.
///
/// Each key is read once, and only those that are kept are sorted: a query of 55 shards compares
/// some ten thousand times otherwise, each with two searches through a message.
fn positions_in_order(elements: &[Value], order: &ElementOrder, keep: usize) -> Vec<usize> {
    let keys: Vec<ElementKey<'_>> = elements
        .iter()
        .map(|element| ElementKey::of(element, order))
        .collect();
    // The position decides last, so that no two are equal and an unstable sort gives one result.
    let compare = |left: &usize, right: &usize| {
        keys[*left]
            .compare(&keys[*right], order.descending)
            .then_with(|| left.cmp(right))
    };
    let mut positions: Vec<usize> = (0..elements.len()).collect();
    if keep < positions.len() {
        positions.select_nth_unstable_by(keep, compare);
        positions.truncate(keep);
    }
    positions.sort_unstable_by(compare);
    positions
}

struct ElementKey<'a> {
    by: Key<'a>,
    tie_break: Key<'a>,
}

impl<'a> ElementKey<'a> {
    fn of(element: &'a Value, order: &ElementOrder) -> Self {
        let message = element.as_message();
        let key = |field| message.map_or(Key::None, |message| Key::of(message, field));
        Self {
            by: key(&order.by),
            tie_break: order.tie_break.as_ref().map_or(Key::None, key),
        }
    }

    fn compare(&self, other: &Self, descending: bool) -> Ordering {
        let by = self.by.compare(&other.by);
        let directed = if descending { by.reverse() } else { by };
        directed.then_with(|| self.tie_break.compare(&other.tie_break))
    }
}

/// A value by which elements are compared; those of one list are all of one kind.
enum Key<'a> {
    Signed(i64),
    Unsigned(u64),
    Float(f64),
    Text(Cow<'a, str>),
    /// No field, or of a type that the schema's checks refuse.
    None,
}

impl<'a> Key<'a> {
    fn of(message: &'a DynamicMessage, field: &FieldDescriptor) -> Self {
        match message.get_field(field) {
            Cow::Borrowed(Value::String(text)) => Self::Text(Cow::Borrowed(text)),
            Cow::Owned(Value::String(text)) => Self::Text(Cow::Owned(text)),
            number => Self::of_number(&number),
        }
    }

    fn of_number(number: &Value) -> Self {
        match number {
            Value::I32(number) => Self::Signed(i64::from(*number)),
            Value::I64(number) => Self::Signed(*number),
            Value::U32(number) => Self::Unsigned(u64::from(*number)),
            Value::U64(number) => Self::Unsigned(*number),
            Value::F32(number) => Self::Float(f64::from(*number)),
            Value::F64(number) => Self::Float(*number),
            _ => Self::None,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Signed(left), Self::Signed(right)) => left.cmp(right),
            (Self::Unsigned(left), Self::Unsigned(right)) => left.cmp(right),
            (Self::Float(left), Self::Float(right)) => left.total_cmp(right),
            (Self::Text(left), Self::Text(right)) => left.cmp(right),
            _ => Ordering::Equal,
        }
    }
}
