//! The program that plays every child process: a binary that calls [`child_main`].

use std::{
    ffi::OsString,
    io::Read,
    path::{Path, PathBuf},
    process::ExitCode,
};

use sablehaven_standins::host::HostFile;

/// How a child process is started.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    leading_arguments: Vec<String>,
}

impl Program {
    /// A binary whose `main` calls [`child_main`].
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            leading_arguments: Vec::new(),
        }
    }

    /// Adds an argument before the child's own, such as a hidden subcommand.
    pub fn with_argument(mut self, argument: &str) -> Self {
        self.leading_arguments.push(argument.to_owned());
        self
    }

    /// The binary.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Arguments before the child's own.
    pub fn leading_arguments(&self) -> &[String] {
        &self.leading_arguments
    }
}

/// The `main` of a child process. The arguments are those after the program's own leading ones:
/// `role <command line of the sablehaven binary>` runs a role, `stand-ins <host file>` runs test
/// doubles.
///
/// The process ends at once when its standard input closes: its parent is gone then.
pub fn child_main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    end_with_parent();
    let mut arguments = arguments.into_iter();
    let kind = arguments.next().unwrap_or_default();
    match kind.to_str() {
        Some("role") => {
            let command_line = std::iter::once(OsString::from("sablehaven")).chain(arguments);
            sablehaven_cli::run(command_line)
        }
        Some("stand-ins") => run_stand_ins(Path::new(&arguments.next().unwrap_or_default())),
        _ => {
            eprintln!("child process: expected 'role …' or 'stand-ins FILE'");
            ExitCode::FAILURE
        }
    }
}

fn end_with_parent() {
    std::thread::spawn(|| {
        let mut input = std::io::stdin().lock();
        let mut buffer = [0; 64];
        while matches!(input.read(&mut buffer), Ok(count) if count > 0) {}
        std::process::exit(1);
    });
}

fn run_stand_ins(path: &Path) -> ExitCode {
    match HostFile::read(path).and_then(|file| sablehaven_standins::host::run_process(&file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stand-ins: {error}");
            ExitCode::FAILURE
        }
    }
}
