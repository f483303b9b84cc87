//! Maps descriptors and options to positions in the schema's text.

use std::collections::BTreeMap;

use prost_reflect::{MethodDescriptor, ServiceDescriptor};
use prost_types::FileDescriptorProto;

use crate::problem::{Position, Span};

/// Field numbers in `google/protobuf/descriptor.proto`, which source paths consist of.
mod tag {
    pub(super) const FILE_PACKAGE: i32 = 2;
    pub(super) const FILE_IMPORT: i32 = 3;
    pub(super) const FILE_OPTIONS: i32 = 8;
    pub(super) const FILE_SYNTAX: i32 = 12;
    pub(super) const METHOD_OPTIONS: i32 = 4;
    pub(super) const NAME: i32 = 1;
}

/// The spans of all elements of a file, by source path.
pub(crate) struct Locations {
    spans: BTreeMap<Vec<i32>, Span>,
}

impl Locations {
    /// Collects the spans that the compiler recorded; keeps the first of several for a path.
    pub(crate) fn of_file(file: &FileDescriptorProto) -> Self {
        let mut spans = BTreeMap::new();
        let source = file.source_code_info.as_ref();
        for location in source.into_iter().flat_map(|info| &info.location) {
            if let Some(span) = parse_span(&location.span) {
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

    /// An `import` statement, by its zero-based index.
    pub(crate) fn import(&self, index: usize) -> Position {
        let index = i32::try_from(index).unwrap_or(i32::MAX);
        self.nearest(&[tag::FILE_IMPORT, index])
    }

    /// A file option, or the part of it that the field numbers in `subpath` select.
    pub(crate) fn file_option(&self, number: u32, subpath: &[u32]) -> Span {
        self.option(&[tag::FILE_OPTIONS], number, subpath)
    }

    /// The name of a service.
    pub(crate) fn service(&self, service: &ServiceDescriptor) -> Position {
        self.nearest(&concat_path(service.path(), &[tag::NAME]))
    }

    /// The name of a method.
    pub(crate) fn method(&self, method: &MethodDescriptor) -> Position {
        self.nearest(&concat_path(method.path(), &[tag::NAME]))
    }

    /// A method option, or the part of it that the field numbers in `subpath` select.
    pub(crate) fn method_option(
        &self,
        method: &MethodDescriptor,
        number: u32,
        subpath: &[u32],
    ) -> Span {
        let path = concat_path(method.path(), &[tag::METHOD_OPTIONS]);
        self.option(&path, number, subpath)
    }

    fn option(&self, options: &[i32], number: u32, subpath: &[u32]) -> Span {
        let mut path = options.to_vec();
        path.push(number.cast_signed());
        path.extend(subpath.iter().map(|part| part.cast_signed()));
        self.nearest_span(&path)
    }

    /// The start of the span that [`Self::nearest_span`] returns.
    pub(crate) fn nearest(&self, path: &[i32]) -> Position {
        self.nearest_span(path).start
    }

    /// The span of the path itself, else of the first element within it, else of the nearest parent that
    /// has a span or contains one.
    fn nearest_span(&self, path: &[i32]) -> Span {
        (1..=path.len())
            .rev()
            .find_map(|length| self.first_span_under(&path[..length]))
            .unwrap_or(Span::START)
    }

    /// The span of `path` itself, else of the first recorded path that starts with it.
    fn first_span_under(&self, path: &[i32]) -> Option<Span> {
        let (found, span) = self.spans.range(path.to_vec()..).next()?;
        found.starts_with(path).then_some(*span)
    }
}

/// Parses a span of `google.protobuf.SourceCodeInfo`: start line, start column, end line and end
/// column, counted from 0; the end line is omitted if it equals the start line.
fn parse_span(numbers: &[i32]) -> Option<Span> {
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

fn concat_path(path: &[i32], parts: &[i32]) -> Vec<i32> {
    [path, parts].concat()
}
