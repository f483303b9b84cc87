//! What is wrong with a name or number in an option, and which part of its text is to blame.

/// A problem of a field name or number in an option.
pub(crate) struct FieldProblem {
    /// The text of the option that is to blame; empty if it is the option as a whole.
    pub blamed: String,
    /// The reason.
    pub message: String,
}

impl FieldProblem {
    /// Blames a name in quotes.
    pub(crate) fn of_name(name: &str, message: String) -> Self {
        Self {
            blamed: format!("\"{name}\""),
            message,
        }
    }

    /// Blames a part of the option by its name.
    pub(crate) fn of_option(option: &str, message: String) -> Self {
        Self {
            blamed: option.to_owned(),
            message,
        }
    }

    /// Blames the option as a whole.
    pub(crate) fn of_whole(message: String) -> Self {
        Self {
            blamed: String::new(),
            message,
        }
    }
}
