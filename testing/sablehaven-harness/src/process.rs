//! One real process under the harness: started, killed, frozen, stopped.

use std::{
    io,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use sablehaven_types::BoundAddresses;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdin, Command},
    time::timeout,
};

use crate::{HarnessError, program::Program};

/// Time that a process may take to listen. Generous, since it only guards against a hang.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time that a planned stop may take. Generous, since it only guards against a hang.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// A process that the harness started; killed when dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    /// Closing it ends the child. Waiting for a child closes its own input first, which would turn
    /// a planned stop into an abrupt end, so the input is kept here.
    _input: Option<ChildStdin>,
    addresses: BoundAddresses,
    error_file: PathBuf,
}

impl ManagedProcess {
    /// Starts the program and waits until it has printed its addresses.
    ///
    /// What it writes to standard error is kept in `<folder>/<name>.stderr`, over restarts.
    pub async fn start(
        program: &Program,
        name: &str,
        arguments: &[String],
        folder: &Path,
    ) -> Result<Self, HarnessError> {
        let failed = |source: io::Error| HarnessError::Process {
            step: "start",
            process: name.to_owned(),
            source,
        };
        let error_file = folder.join(format!("{name}.stderr"));
        let errors = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&error_file)
            .map_err(failed)?;
        let mut child = Command::new(program.path())
            .args(program.leading_arguments())
            .args(arguments)
            // The child ends itself when this pipe closes, so that none outlives its parent.
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(errors)
            // Ctrl-C in a terminal is for the parent, which then stops its children as planned.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        let output = child.stdout.take().expect("standard output is piped");
        let mut lines = BufReader::new(output).lines();
        let line = match timeout(START_LIMIT, lines.next_line()).await {
            Ok(line) => line.map_err(failed)?,
            Err(_) => None,
        };
        let not_started = || HarnessError::NotStarted {
            process: name.to_owned(),
            errors: std::fs::read_to_string(&error_file).unwrap_or_default(),
        };
        let line = line.ok_or_else(not_started)?;
        let addresses = serde_json::from_str(&line).map_err(|_| not_started())?;
        Ok(Self {
            name: name.to_owned(),
            _input: child.stdin.take(),
            child,
            addresses,
            error_file,
        })
    }

    /// The name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The addresses that the process listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// The operating system's number of the process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// What the process and its earlier starts wrote to standard error.
    pub fn errors(&self) -> String {
        std::fs::read_to_string(&self.error_file).unwrap_or_default()
    }

    /// Freezes the process (SIGSTOP).
    pub fn freeze(&self) -> Result<(), HarnessError> {
        self.send("freeze", Signal::SIGSTOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn thaw(&self) -> Result<(), HarnessError> {
        self.send("thaw", Signal::SIGCONT)
    }

    /// Asks for a planned stop (SIGTERM) without waiting for its end.
    pub fn request_stop(&self) -> Result<(), HarnessError> {
        self.send("stop", Signal::SIGTERM)
    }

    /// Waits for the process's own end.
    pub async fn wait(&mut self) -> Result<ExitStatus, HarnessError> {
        match timeout(STOP_LIMIT, self.child.wait()).await {
            Ok(status) => status.map_err(|source| self.error("wait for", source)),
            Err(_) => Err(self.error("wait for", io::ErrorKind::TimedOut.into())),
        }
    }

    /// Asks for a planned stop and waits for its end.
    pub async fn stop(&mut self) -> Result<ExitStatus, HarnessError> {
        self.request_stop()?;
        self.wait().await
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub async fn kill(&mut self) -> Result<(), HarnessError> {
        let killed = self.child.kill().await;
        killed.map_err(|source| self.error("kill", source))
    }

    fn send(&self, step: &'static str, signal: Signal) -> Result<(), HarnessError> {
        let gone = || self.error(step, io::ErrorKind::NotFound.into());
        let id = self.child.id().ok_or_else(gone)?;
        let id = i32::try_from(id).map_err(|_| gone())?;
        kill(Pid::from_raw(id), signal).map_err(|errno| self.error(step, errno.into()))
    }

    fn error(&self, step: &'static str, source: io::Error) -> HarnessError {
        HarnessError::Process {
            step,
            process: self.name.clone(),
            source,
        }
    }
}
