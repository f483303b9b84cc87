//! Finds the place in the schema's text of a descriptor or option.

use std::collections::BTreeMap;

use prost_reflect::{MethodDescriptor, ServiceDescriptor};
use prost_types::FileDescriptorProto;

use crate::problem::{Position, Span};

/// Field numbers of `google/protobuf/descriptor.proto` that make up source paths.
mod tag {
    pub(super) const FILE_PACKAGE: i32 = 2;
    pub(super) const FILE_IMPORT: i32 = 3;
    pub(super) const FILE_OPTIONS: i32 = 8;
    pub(super) const FILE_SYNTAX: i32 = 12;
    pub(super) const METHOD_OPTIONS: i32 = 4;
    pub(super) const NAME: i32 = 1;
}

/// The places of every part of a file, by source path.
pub(crate) struct Locations {
    spans: BTreeMap<Vec<i32>, Span>,
}

impl Locations {
    /// Reads the places that the compiler recorded.
    pub(crate) fn of_file(file: &FileDescriptorProto) -> Self {
        let mut spans = BTreeMap::new();
        let source = file.source_code_info.as_ref();
        for location in source.into_iter().flat_map(|info| &info.location) {
            if let Some(span) = read_span(&location.span) {
                spans.entry(location.path.clone()).or_insert(span);
            }
        }
        Self { spans }
    }

    /// The `syntax` statement.
    pub(crate) fn syntax(&self) -> Position {
        self.nearest(&[tag::FILE_SYNTAX])
    }

    /// The `package` statement.
    pub(crate) fn package(&self) -> Position {
        self.nearest(&[tag::FILE_PACKAGE])
    }

    /// An `import` statement, counted from 0.
    pub(crate) fn import(&self, index: usize) -> Position {
        let index = i32::try_from(index).unwrap_or(i32::MAX);
        self.nearest(&[tag::FILE_IMPORT, index])
    }

    /// An option of the file.
    pub(crate) fn file_option(&self, number: u32, within: &[u32]) -> Span {
        self.option(&[tag::FILE_OPTIONS], number, within)
    }

    /// The name of a service.
    pub(crate) fn service(&self, service: &ServiceDescriptor) -> Position {
        self.nearest(&extend(service.path(), &[tag::NAME]))
    }

    /// The name of a method.
    pub(crate) fn method(&self, method: &MethodDescriptor) -> Position {
        self.nearest(&extend(method.path(), &[tag::NAME]))
    }

    /// An option of a method; `within` names the part of it by field numbers.
    pub(crate) fn method_option(
        &self,
        method: &MethodDescriptor,
        number: u32,
        within: &[u32],
    ) -> Span {
        let path = extend(method.path(), &[tag::METHOD_OPTIONS]);
        self.option(&path, number, within)
    }

    fn option(&self, options: &[i32], number: u32, within: &[u32]) -> Span {
        let mut path = options.to_vec();
        path.push(number.cast_signed());
        path.extend(within.iter().map(|part| part.cast_signed()));
        self.nearest_span(&path)
    }

    /// Where the span of [`Self::nearest_span`] starts.
    pub(crate) fn nearest(&self, path: &[i32]) -> Position {
        self.nearest_span(path).start
    }

    /// The span of the path itself, or else of something within it, or else of what holds it.
    fn nearest_span(&self, path: &[i32]) -> Span {
        (1..=path.len())
            .rev()
            .find_map(|length| self.first_within(&path[..length]))
            .unwrap_or(Span::START)
    }

    fn first_within(&self, path: &[i32]) -> Option<Span> {
        let (found, span) = self.spans.range(path.to_vec()..).next()?;
        found.starts_with(path).then_some(*span)
    }
}

/// Reads a span as `google.protobuf.SourceCodeInfo` writes it: three numbers counted from 0 where it
/// ends on the line where it starts, else four.
fn read_span(numbers: &[i32]) -> Option<Span> {
    let position = |line: i32, column: i32| Position {
        line: usize::try_from(line).unwrap_or(0) + 1,
        column: usize::try_from(column).unwrap_or(0) + 1,
    };
    match *numbers {
        [line, start, end] => Some(Span {
            start: position(line, start),
            end: position(line, end),
        }),
        [line, column, end_line, end_column] => Some(Span {
            start: position(line, column),
            end: position(end_line, end_column),
        }),
        _ => None,
    }
}

fn extend(path: &[i32], parts: &[i32]) -> Vec<i32> {
    [path, parts].concat()
}
