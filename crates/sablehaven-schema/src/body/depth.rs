//! How deeply a decoded body is nested.

use prost_reflect::{DynamicMessage, Kind, MessageDescriptor};

use super::{
    BodyError, BodyLimits,
    field_path::{Place, for_each_inner, path_of},
};

/// Refuses a message that is nested more deeply than the limits allow.
pub(super) fn check_depth(
    descriptor: &MessageDescriptor,
    message: &DynamicMessage,
    limits: BodyLimits,
) -> Result<(), BodyError> {
    // Walking a reply costs about a third of decoding it, and few types can nest deeply at all.
    if may_nest_deeper(descriptor, limits.max_depth) {
        check_message(message, limits, 1, None)
    } else {
        Ok(())
    }
}

fn check_message(
    message: &DynamicMessage,
    limits: BodyLimits,
    depth: usize,
    place: Option<&Place<'_>>,
) -> Result<(), BodyError> {
    if depth > limits.max_depth {
        return Err(limits.too_deep(path_of(place)));
    }
    for_each_inner(message, place, &mut |inner, inner_place| {
        check_message(inner, limits, depth + 1, Some(inner_place))
    })
}

/// Whether messages of a type may be nested more than `limit` deep: if types hold themselves, or are
/// too many to tell quickly. Without a cycle no nesting is deeper than there are types.
fn may_nest_deeper(descriptor: &MessageDescriptor, limit: usize) -> bool {
    let mut types = Types {
        limit,
        finished: Vec::new(),
        open: Vec::new(),
    };
    types.visit(descriptor.clone())
}

/// A depth-first search over message types.
struct Types {
    limit: usize,
    finished: Vec<MessageDescriptor>,
    open: Vec<MessageDescriptor>,
}

impl Types {
    /// Whether a cycle or too many types were found.
    fn visit(&mut self, descriptor: MessageDescriptor) -> bool {
        if self.finished.contains(&descriptor) {
            return false;
        }
        let too_many = self.finished.len() + self.open.len() >= self.limit;
        if too_many || self.open.contains(&descriptor) {
            return true;
        }
        self.open.push(descriptor.clone());
        for field in descriptor.fields() {
            if let Kind::Message(inner) = field.kind()
                && self.visit(inner)
            {
                return true;
            }
        }
        self.open.pop();
        self.finished.push(descriptor);
        false
    }
}
