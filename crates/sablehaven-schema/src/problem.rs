//! What is wrong with a schema, and where.

/// One problem of a schema file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display, thiserror::Error)]
#[displaydoc("{file}:{line}:{column}: {message}")]
pub struct SchemaProblem {
    /// The file's name.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1 in characters.
    pub column: usize,
    /// The reason.
    pub message: String,
}

/// A place in a text: line and column, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Position {
    /// Where a text starts.
    pub(crate) const START: Self = Self { line: 1, column: 1 };

    /// The place of a byte offset; an offset past the end gives the end.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Self {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// A problem at this place.
    pub(crate) fn problem(self, file: &str, message: impl Into<String>) -> SchemaProblem {
        SchemaProblem {
            file: file.to_owned(),
            line: self.line,
            column: self.column,
            message: message.into(),
        }
    }
}
