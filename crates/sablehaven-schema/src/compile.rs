//! Compiles a schema's text to descriptors, with the options file and Google's standard files built in.
//!
//! `protox` parses, `prost-reflect` links. Its own `Compiler` is not used, because it places every
//! problem by a search through the whole text: 15,000 problems in a text within the size limit took
//! it 19 seconds in a release build.

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

/// The name under which a schema imports the options.
pub const OPTIONS_FILE: &str = "sablehaven/options.proto";
/// The options file's text.
pub const OPTIONS_TEXT: &str = include_str!("../proto/sablehaven/options.proto");
/// The longest schema text that is accepted, in bytes.
pub const MAX_SCHEMA_BYTES: usize = 256 * 1024;

/// The deepest nesting of brackets in a schema; ours use about 6.
const MAX_SCHEMA_NESTING: usize = 32;
/// Problems that are placed exactly, one by one. Of more linker problems only the first is placed; of
/// more option problems the others stand at their option's statement.
pub(crate) const MAX_PLACED_PROBLEMS: usize = 100;
/// The longest message of a compiler error, in characters.
const MAX_MESSAGE_CHARACTERS: usize = 400;
/// The name under which the schema itself is compiled.
const SCHEMA_FILE: &str = "schema.proto";

/// A schema that compiled: every descriptor, and the schema's own file among them.
pub(crate) struct Compiled {
    /// All descriptors, of the imported files too.
    pub pool: DescriptorPool,
    /// The schema's own file.
    pub file: FileDescriptor,
}

/// Compiles a schema, or says what the compiler found wrong.
pub(crate) fn compile(source: Source<'_>) -> Result<Compiled, Vec<SchemaProblem>> {
    source.check_size()?;
    source.check_nesting()?;
    let file = source.parse()?;
    let imported = source.import(&file)?;
    source.link(imported, file)
}

/// A schema's text and the name by which problems call it.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    /// The name.
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
            // A parse error without a label says that the text ended too early.
            Err(error) => Err(self.place(&error, self.text.len())),
        }
    }

    /// The descriptors of every file that the schema imports.
    fn import(&self, file: &FileDescriptorProto) -> Result<DescriptorPool, Vec<SchemaProblem>> {
        let locations = Locations::of_file(file);
        let mut pool = DescriptorPool::new();
        let mut problems = Vec::new();
        let mut seen = BTreeSet::new();
        for (index, name) in file.dependency.iter().enumerate() {
            let reason = if seen.insert(name) {
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

    /// Adds the schema's own file to those that it imports.
    ///
    /// It is tried without its places first: the linker's search for the place of each problem takes
    /// time that grows with the product of problems and size, so the number of problems must be known
    /// to be small before.
    fn link(
        &self,
        imported: DescriptorPool,
        file: FileDescriptorProto,
    ) -> Result<Compiled, Vec<SchemaProblem>> {
        let mut trial = imported.clone();
        let without_places = FileDescriptorProto {
            source_code_info: None,
            ..file.clone()
        };
        if let Err(error) = trial.add_file_descriptor_proto(without_places) {
            let more = error.related().into_iter().flatten().count();
            if more >= MAX_PLACED_PROBLEMS {
                return Err(vec![self.first_of_many(&file, &error, more)]);
            }
        }
        let mut pool = imported;
        if let Err(error) = pool.add_file_descriptor_proto(file) {
            return Err(self.place(&error.with_source_code(self.text), 0));
        }
        match pool.get_file_by_name(SCHEMA_FILE) {
            Some(file) => Ok(Compiled { pool, file }),
            None => {
                Err(vec![self.problem(
                    Position::START,
                    "the compiler gave no descriptors",
                )])
            }
        }
    }

    fn first_of_many(
        &self,
        file: &FileDescriptorProto,
        error: &DescriptorError,
        more: usize,
    ) -> SchemaProblem {
        let position = match error.path() {
            Some(path) => Locations::of_file(file).nearest(path),
            None => Position::START,
        };
        let message = format!("{} (and {more} more problems)", message_of(error));
        self.problem(position, message)
    }

    /// Places an error and those related to it; `unlabelled` is the offset of one without a label.
    fn place(&self, error: &dyn Diagnostic, unlabelled: usize) -> Vec<SchemaProblem> {
        let place_one = |diagnostic: &dyn Diagnostic| {
            let label = diagnostic.labels().and_then(Iterator::last);
            let offset = label.map_or(unlabelled, |label| label.offset());
            self.problem_at(offset, message_of(diagnostic))
        };
        let mut problems = vec![place_one(error)];
        problems.extend(error.related().into_iter().flatten().map(place_one));
        problems.sort();
        problems.dedup();
        problems
    }
}

/// Adds a built-in file and those that it imports; on failure gives the reason.
fn add_built_in(pool: &mut DescriptorPool, name: &str) -> Result<(), String> {
    if pool.get_file_by_name(name).is_some() {
        return Ok(());
    }
    let opened = match name {
        OPTIONS_FILE => File::from_source(OPTIONS_FILE, OPTIONS_TEXT),
        _ => GoogleFileResolver::new().open_file(name),
    };
    let file = opened.map_err(|_| {
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

/// The compiler's words, with what caused the error and how to mend it.
fn message_of(diagnostic: &dyn Diagnostic) -> String {
    let mut message = diagnostic.to_string();
    if let Some(cause) = diagnostic.diagnostic_source() {
        message = format!("{message}: {cause}");
    }
    if let Some(help) = diagnostic.help() {
        message = format!("{message} ({help})");
    }
    shorten(message)
}

/// The compiler quotes what it found, which may be as long as the schema.
fn shorten(message: String) -> String {
    match message.char_indices().nth(MAX_MESSAGE_CHARACTERS) {
        Some((end, _)) => format!("{}…", &message[..end]),
        None => message,
    }
}
