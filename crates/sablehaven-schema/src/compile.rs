//! Compiles a schema's text to descriptors, with the options file and Google's standard files built in.

use std::path::Path;

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, FileDescriptor};
use protox::{
    Compiler, Error,
    file::{File, FileResolver, GoogleFileResolver},
};

use crate::{
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
/// The name under which the schema itself is compiled, so that it cannot shadow a built-in file.
const SCHEMA_FILE: &str = "schema.proto";

/// A schema that compiled: every descriptor, and the schema's own file among them.
pub(crate) struct Compiled {
    /// All descriptors, of the imported files too.
    pub pool: DescriptorPool,
    /// The schema's own file.
    pub file: FileDescriptor,
}

/// Compiles a schema, or says everything that the compiler found wrong.
pub(crate) fn compile(file_name: &str, text: &str) -> Result<Compiled, Vec<SchemaProblem>> {
    check_size(file_name, text)?;
    check_nesting(file_name, text)?;
    let mut compiler = Compiler::with_file_resolver(SchemaResolver {
        text: text.to_owned(),
    });
    if let Err(error) = compiler.open_file(Path::new(SCHEMA_FILE)) {
        return Err(problems_of(&error, file_name, text));
    }
    let pool = compiler.descriptor_pool();
    match pool.get_file_by_name(SCHEMA_FILE) {
        Some(file) => Ok(Compiled { pool, file }),
        None => Err(vec![
            Position::START.problem(file_name, "the compiler gave no descriptors"),
        ]),
    }
}

fn check_size(file_name: &str, text: &str) -> Result<(), Vec<SchemaProblem>> {
    if text.len() <= MAX_SCHEMA_BYTES {
        return Ok(());
    }
    let message = format!(
        "the file has {} bytes; at most {MAX_SCHEMA_BYTES} are accepted",
        text.len()
    );
    Err(vec![Position::START.problem(file_name, message)])
}

fn check_nesting(file_name: &str, text: &str) -> Result<(), Vec<SchemaProblem>> {
    let Err(error) = check_schema_nesting(text, MAX_SCHEMA_NESTING) else {
        return Ok(());
    };
    let (offset, message) = match error {
        NestingError::TooDeep(offset) => (
            offset,
            format!("brackets are nested more than {MAX_SCHEMA_NESTING} deep"),
        ),
        NestingError::NestedComment(offset) => {
            (offset, "nested block comments are not supported".to_owned())
        }
    };
    Err(vec![
        Position::of_offset(text, offset).problem(file_name, message),
    ])
}

struct SchemaResolver {
    text: String,
}

impl FileResolver for SchemaResolver {
    fn open_file(&self, name: &str) -> Result<File, Error> {
        match name {
            SCHEMA_FILE => File::from_source(SCHEMA_FILE, &self.text),
            OPTIONS_FILE => File::from_source(OPTIONS_FILE, OPTIONS_TEXT),
            _ => GoogleFileResolver::new().open_file(name),
        }
    }
}

fn problems_of(error: &Error, file_name: &str, text: &str) -> Vec<SchemaProblem> {
    // A parse error without a label says that the text ended too early.
    let unlabelled = if error.is_parse() { text.len() } else { 0 };
    let problem = |diagnostic: &dyn Diagnostic| {
        let label = diagnostic.labels().and_then(Iterator::last);
        let offset = label.map_or(unlabelled, |label| label.offset());
        Position::of_offset(text, offset).problem(file_name, message_of(diagnostic))
    };
    let mut problems = vec![problem(error)];
    problems.extend(error.related().into_iter().flatten().map(problem));
    problems.sort();
    problems.dedup();
    problems
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
    message
}
