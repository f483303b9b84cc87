//! Compiles a schema to descriptors; the options file and Google's standard files are built in.
//!
//! `protox` parses and `prost-reflect` links. The `Compiler` of `protox` is not used, because it searches
//! the whole text for the position of each problem: 15,000 problems in a text within the size limit
//! took it 19 seconds in a release build.

use std::collections::BTreeSet;

use miette::Diagnostic;
use prost_reflect::{DescriptorError, DescriptorPool, FileDescriptor};
use prost_types::FileDescriptorProto;
use protox::file::{File, FileResolver, GoogleFileResolver};

use crate::{
    locations::Locations,
    nesting::{NestingError, check_schema_nesting},
    problem::{Position, SchemaProblem},
};

/// The path under which a schema imports the options file.
pub const OPTIONS_FILE: &str = "sablehaven/options.proto";
/// The text of the options file.
pub const OPTIONS_TEXT: &str = include_str!("../proto/sablehaven/options.proto");
/// The maximum length of a schema, in bytes.
pub const MAX_SCHEMA_BYTES: usize = 256 * 1024;

/// The maximum nesting depth of brackets in a schema; the schemas in `deployments/` use about 6.
const MAX_SCHEMA_NESTING: usize = 32;
/// The maximum number of problems that get an exact position, since each one costs a search.
///
/// If there are more linker problems, only the first one is reported, with the number of the others.
/// Option problems past the maximum are reported at the start of their option statement.
pub(crate) const MAX_LOCATED_PROBLEMS: usize = 100;
/// The maximum length of a compiler error message, in characters.
const MAX_MESSAGE_CHARACTERS: usize = 400;
/// The file name under which the schema itself is compiled.
const SCHEMA_FILE: &str = "schema.proto";

/// The descriptors of a schema that compiled.
pub(crate) struct CompiledSchema {
    /// All descriptors, including those of the imported files.
    pub pool: DescriptorPool,
    /// The descriptor of the schema file itself.
    pub file: FileDescriptor,
}

/// Compiles a schema, or returns the problems that the compiler found.
pub(crate) fn compile(source: Source<'_>) -> Result<CompiledSchema, Vec<SchemaProblem>> {
    source.check_size()?;
    source.check_nesting()?;
    let file = source.parse()?;
    let imported = source.load_imports(&file)?;
    source.link(imported, file)
}

/// A schema's text and the file name that its problems show.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    /// The file name.
    pub file_name: &'a str,
    /// The text.
    pub text: &'a str,
}

impl Source<'_> {
    fn problem(&self, position: Position, message: impl Into<String>) -> SchemaProblem {
        position.problem(self.file_name, message)
    }

    fn problem_at(&self, offset: usize, message: impl Into<String>) -> SchemaProblem {
        self.problem(Position::of_offset(self.text, offset), message)
    }

    fn check_size(&self) -> Result<(), Vec<SchemaProblem>> {
        if self.text.len() <= MAX_SCHEMA_BYTES {
            return Ok(());
        }
        let message = format!(
            "the file has {} bytes; at most {MAX_SCHEMA_BYTES} are accepted",
            self.text.len()
        );
        Err(vec![self.problem(Position::START, message)])
    }

    fn check_nesting(&self) -> Result<(), Vec<SchemaProblem>> {
        let (offset, message) = match check_schema_nesting(self.text, MAX_SCHEMA_NESTING) {
            Ok(()) => return Ok(()),
            Err(NestingError::TooDeep(offset)) => (
                offset,
                format!("brackets are nested more than {MAX_SCHEMA_NESTING} deep"),
            ),
            Err(NestingError::NestedComment(offset)) => {
                (offset, "nested block comments are not supported".to_owned())
            }
        };
        Err(vec![self.problem_at(offset, message)])
    }

    fn parse(&self) -> Result<FileDescriptorProto, Vec<SchemaProblem>> {
        match File::from_source(SCHEMA_FILE, self.text) {
            Ok(file) => Ok(file.file_descriptor_proto().clone()),
            // A parse error without a label reports an unexpected end of the text.
            Err(error) => Err(self.locate(&error, self.text.len())),
        }
    }

    /// Loads the descriptors of every file that the schema imports.
    fn load_imports(
        &self,
        file: &FileDescriptorProto,
    ) -> Result<DescriptorPool, Vec<SchemaProblem>> {
        let locations = Locations::of_file(file);
        let mut pool = DescriptorPool::new();
        let mut problems = Vec::new();
        let mut imported_names = BTreeSet::new();
        for (index, name) in file.dependency.iter().enumerate() {
            let reason = if imported_names.insert(name) {
                add_built_in(&mut pool, name).err()
            } else {
                Some(format!("import '{name}' is listed twice"))
            };
            let problem = reason.map(|reason| self.problem(locations.import(index), reason));
            problems.extend(problem);
        }
        if problems.is_empty() {
            Ok(pool)
        } else {
            Err(problems)
        }
    }

    /// Links the schema file with the files that it imports.
    ///
    /// Links a copy without source positions first: the time in which the linker finds the positions
    /// grows with the number of problems times the size of the text, so positions are computed only
    /// once the number of problems is known to be small.
    fn link(
        &self,
        imported: DescriptorPool,
        file: FileDescriptorProto,
    ) -> Result<CompiledSchema, Vec<SchemaProblem>> {
        let mut trial = imported.clone();
        let without_positions = FileDescriptorProto {
            source_code_info: None,
            ..file.clone()
        };
        if let Err(error) = trial.add_file_descriptor_proto(without_positions) {
            let related = error.related().into_iter().flatten().count();
            if related >= MAX_LOCATED_PROBLEMS {
                return Err(vec![self.first_problem(&file, &error, related)]);
            }
        }
        let mut pool = imported;
        if let Err(error) = pool.add_file_descriptor_proto(file) {
            return Err(self.locate(&error.with_source_code(self.text), 0));
        }
        match pool.get_file_by_name(SCHEMA_FILE) {
            Some(file) => Ok(CompiledSchema { pool, file }),
            None => {
                Err(vec![self.problem(
                    Position::START,
                    "the compiler gave no descriptors",
                )])
            }
        }
    }

    /// The problem of `error` itself, with the number of its related errors.
    fn first_problem(
        &self,
        file: &FileDescriptorProto,
        error: &DescriptorError,
        related: usize,
    ) -> SchemaProblem {
        let position = match error.path() {
            Some(path) => Locations::of_file(file).nearest(path),
            None => Position::START,
        };
        let message = format!("{} (and {related} more problems)", full_message(error));
        self.problem(position, message)
    }

    /// Converts an error and its related errors to problems with positions; an error without a label is
    /// reported at `default_offset`.
    fn locate(&self, error: &dyn Diagnostic, default_offset: usize) -> Vec<SchemaProblem> {
        let to_problem = |diagnostic: &dyn Diagnostic| {
            let label = diagnostic.labels().and_then(Iterator::last);
            let offset = label.map_or(default_offset, |label| label.offset());
            self.problem_at(offset, full_message(diagnostic))
        };
        let mut problems = vec![to_problem(error)];
        problems.extend(error.related().into_iter().flatten().map(to_problem));
        problems.sort();
        problems.dedup();
        problems
    }
}

/// Adds a built-in file and the files that it imports to the pool; the error is a message.
fn add_built_in(pool: &mut DescriptorPool, name: &str) -> Result<(), String> {
    if pool.get_file_by_name(name).is_some() {
        return Ok(());
    }
    let opened_file = match name {
        OPTIONS_FILE => File::from_source(OPTIONS_FILE, OPTIONS_TEXT),
        _ => GoogleFileResolver::new().open_file(name),
    };
    let file = opened_file.map_err(|_| {
        format!(
            "import '{name}' not found: only {OPTIONS_FILE} and google/protobuf files are built in"
        )
    })?;
    let descriptor = file.file_descriptor_proto().clone();
    for dependency in &descriptor.dependency {
        add_built_in(pool, dependency)?;
    }
    pool.add_file_descriptor_proto(descriptor)
        .map_err(|error| format!("import '{name}': {error}"))
}

/// The compiler's message with its cause and help text.
fn full_message(diagnostic: &dyn Diagnostic) -> String {
    let mut message = diagnostic.to_string();
    if let Some(cause) = diagnostic.diagnostic_source() {
        message = format!("{message}: {cause}");
    }
    if let Some(help) = diagnostic.help() {
        message = format!("{message} ({help})");
    }
    truncate(message)
}

/// Truncates a message; the compiler quotes the input, which may be as long as the schema.
fn truncate(message: String) -> String {
    match message.char_indices().nth(MAX_MESSAGE_CHARACTERS) {
        Some((end, _)) => format!("{}…", &message[..end]),
        None => message,
    }
}
