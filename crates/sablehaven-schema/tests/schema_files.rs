//! Checks that each schema in `schemas/valid` is accepted, and that each schema in `schemas/invalid` is
//! rejected with exactly the expected problems.
//!
//! The expected problems of `schemas/invalid/<name>.proto` are in `<name>.problems`, one per line.

use std::path::Path;

use sablehaven_schema::DeploymentSchema;

fn valid(path: &Path, text: String) -> datatest_stable::Result<()> {
    match DeploymentSchema::parse("schema.proto", &text) {
        Ok(_) => Ok(()),
        Err(problems) => Err(format!("{}: {problems:#?}", path.display()).into()),
    }
}

fn invalid(path: &Path, text: String) -> datatest_stable::Result<()> {
    let problems = match DeploymentSchema::parse("schema.proto", &text) {
        Ok(_) => return Err("the schema is accepted".into()),
        Err(problems) => problems,
    };
    let found: Vec<_> = problems.iter().map(ToString::to_string).collect();
    let expected = std::fs::read_to_string(path.with_extension("problems"))?;
    if found.iter().eq(expected.lines()) {
        return Ok(());
    }
    Err(format!("found:\n{}\nexpected:\n{expected}", found.join("\n")).into())
}

datatest_stable::harness! {
    { test = valid, root = "tests/schemas/valid", pattern = r"\.proto$" },
    { test = invalid, root = "tests/schemas/invalid", pattern = r"\.proto$" },
}
