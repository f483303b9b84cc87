//! Problems in the options of a schema, each with the part of the option's text that it refers to.

/// A problem with a field name or number in an option.
pub(crate) struct FieldProblem {
    /// The part of the option's text that the problem refers to; empty for the whole option.
    pub excerpt: String,
    /// What is wrong.
    pub message: String,
}

impl FieldProblem {
    /// A problem with a quoted name in the option.
    pub(crate) fn of_name(name: &str, message: String) -> Self {
        Self {
            excerpt: format!("\"{name}\""),
            message,
        }
    }

    /// A problem with a field of the option, such as `deadline_ms`.
    pub(crate) fn of_option_field(field: &str, message: String) -> Self {
        Self {
            excerpt: field.to_owned(),
            message,
        }
    }

    /// A problem with the whole option.
    pub(crate) fn of_whole_option(message: String) -> Self {
        Self {
            excerpt: String::new(),
            message,
        }
    }
}
