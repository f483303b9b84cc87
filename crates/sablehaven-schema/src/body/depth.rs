//! Limits the nesting depth of a decoded body.

use prost_reflect::{DynamicMessage, Kind, MessageDescriptor};

use super::{
    BodyError, BodyLimits,
    field_path::{FieldPath, for_each_submessage, path_text},
};

/// Rejects a message whose nesting exceeds `limits.max_depth`.
pub(super) fn check_depth(
    descriptor: &MessageDescriptor,
    message: &DynamicMessage,
    limits: BodyLimits,
) -> Result<(), BodyError> {
    // Traversing a reply takes about a third of the time of decoding it, and most types cannot exceed
    // the limit, so the traversal is skipped for them.
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
    path: Option<&FieldPath<'_>>,
) -> Result<(), BodyError> {
    if depth > limits.max_depth {
        return Err(limits.too_deep(path_text(path)));
    }
    for_each_submessage(message, path, &mut |inner, inner_path| {
        check_message(inner, limits, depth + 1, Some(inner_path))
    })
}

/// Whether messages of a type may be nested more than `limit` deep.
///
/// Without recursive types, the nesting is at most as deep as there are types. So the answer is true if
/// a type contains itself, directly or through others, or if there are more than `limit` types, in
/// which case the search stops early and the answer may be a false positive.
fn may_nest_deeper(descriptor: &MessageDescriptor, limit: usize) -> bool {
    let mut search = TypeSearch {
        limit,
        finished: Vec::new(),
        in_progress: Vec::new(),
    };
    search.visit(descriptor.clone())
}

/// A depth-first search for recursion in message types.
struct TypeSearch {
    limit: usize,
    finished: Vec<MessageDescriptor>,
    in_progress: Vec<MessageDescriptor>,
}

impl TypeSearch {
    /// Visits a type and the types of its fields. Returns whether a cycle or more than `limit` types were
    /// found.
    fn visit(&mut self, descriptor: MessageDescriptor) -> bool {
        if self.finished.contains(&descriptor) {
            return false;
        }
        let too_many = self.finished.len() + self.in_progress.len() >= self.limit;
        if too_many || self.in_progress.contains(&descriptor) {
            return true;
        }
        self.in_progress.push(descriptor.clone());
        for field in descriptor.fields() {
            if let Kind::Message(inner) = field.kind()
                && self.visit(inner)
            {
                return true;
            }
        }
        self.in_progress.pop();
        self.finished.push(descriptor);
        false
    }
}
