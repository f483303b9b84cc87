//! Schema problems and their positions in the text.

/// A problem in a schema file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display, thiserror::Error)]
#[displaydoc("{file}:{line}:{column}: {message}")]
pub struct SchemaProblem {
    /// The file name.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1 in characters.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

/// A position in a text: line and column, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Position {
    /// The start of a text.
    pub(crate) const START: Self = Self { line: 1, column: 1 };

    /// The position of a byte offset; an offset past the end is clamped to the end.
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

    /// The byte offset of this position; a position past the end is clamped to the end.
    pub(crate) fn offset_in(self, text: &str) -> usize {
        let line_start = match self.line {
            0 | 1 => Some(0),
            line => text
                .match_indices('\n')
                .nth(line - 2)
                .map(|(offset, _)| offset + 1),
        };
        let Some(line_start) = line_start else {
            return text.len();
        };
        text[line_start..]
            .char_indices()
            .nth(self.column.saturating_sub(1))
            .map_or(text.len(), |(offset, _)| line_start + offset)
    }

    /// Creates a problem at this position.
    pub(crate) fn problem(self, file: &str, message: impl Into<String>) -> SchemaProblem {
        SchemaProblem {
            file: file.to_owned(),
            line: self.line,
            column: self.column,
            message: message.into(),
        }
    }
}

/// A range of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    /// The start.
    pub start: Position,
    /// The end, exclusive.
    pub end: Position,
}

impl Span {
    /// The empty span at the start of a text, used where no span is known.
    pub(crate) const START: Self = Self {
        start: Position::START,
        end: Position::START,
    };

    /// The position of `excerpt` if it occurs exactly once within the span, else the span's start.
    pub(crate) fn position_of(self, excerpt: &str, text: &str) -> Position {
        let start = self.start.offset_in(text);
        let end = self.end.offset_in(text);
        let mut occurrences = match text.get(start..end) {
            Some(part) if !excerpt.is_empty() => part.match_indices(excerpt),
            _ => return self.start,
        };
        match (occurrences.next(), occurrences.next()) {
            (Some((offset, _)), None) => Position::of_offset(text, start + offset),
            _ => self.start,
        }
    }
}
