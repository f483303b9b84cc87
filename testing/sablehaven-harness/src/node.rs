//! One process of a deployment at its place in the network: it can be restarted, and the proxies
//! before it stay.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::ExitStatus,
};

use sablehaven_cli::RoleName;
use sablehaven_faults::Proxy;
use sablehaven_types::Placement;

use crate::{HarnessError, ManagedProcess, Program};

/// What a node's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// A role of the product.
    Role(RoleName),
    /// Stand-in back ends and the platform's list.
    StandIns,
}

/// The name of a node's settings file in its folder.
const SETTINGS_FILE: &str = "settings";

/// One process of a deployment.
pub struct Node {
    name: String,
    kind: NodeKind,
    placement: Placement,
    source: IpAddr,
    folder: PathBuf,
    program: Program,
    process: Option<ManagedProcess>,
    http_proxy: Proxy,
    internal_proxy: Proxy,
}

/// What a node is made of.
pub(crate) struct NodeSpec<'a> {
    pub name: String,
    pub kind: NodeKind,
    pub placement: Placement,
    pub source: IpAddr,
    pub folder: &'a Path,
    pub program: &'a Program,
    pub seed: u64,
}

impl Node {
    /// Prepares the folder and the proxies; the process starts with [`Self::start`].
    pub(crate) async fn prepare(spec: NodeSpec<'_>) -> Result<Self, HarnessError> {
        let folder = spec.folder.join(&spec.name);
        std::fs::create_dir_all(&folder).map_err(|error| HarnessError::File {
            step: "create",
            path: folder.clone(),
            reason: error.to_string(),
        })?;
        let nowhere = SocketAddr::new(spec.source, 1);
        Ok(Self {
            http_proxy: Proxy::start(nowhere, spec.seed).await?,
            internal_proxy: Proxy::start(nowhere, spec.seed.wrapping_add(1)).await?,
            name: spec.name,
            kind: spec.kind,
            placement: spec.placement,
            source: spec.source,
            folder,
            program: spec.program.clone(),
            process: None,
        })
    }

    /// The node's name, unique in the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it runs.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// The IP number that it listens on and connects from.
    pub fn source(&self) -> IpAddr {
        self.source
    }

    /// The folder of its settings, data and standard error.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The address at which others reach its HTTP interface.
    pub fn http(&self) -> SocketAddr {
        self.http_proxy.address()
    }

    /// The address at which others reach its internal interface.
    pub fn internal(&self) -> SocketAddr {
        self.internal_proxy.address()
    }

    /// The proxy before its HTTP interface.
    pub fn http_proxy(&self) -> &Proxy {
        &self.http_proxy
    }

    /// The proxy before its internal interface.
    pub fn internal_proxy(&self) -> &Proxy {
        &self.internal_proxy
    }

    /// The process, while it is started.
    pub fn process(&self) -> Option<&ManagedProcess> {
        self.process.as_ref()
    }

    /// Writes the settings that the next start reads.
    pub(crate) fn write_settings(&self, text: &str) -> Result<(), HarnessError> {
        let path = self.folder.join(SETTINGS_FILE);
        std::fs::write(&path, text).map_err(|error| HarnessError::File {
            step: "write",
            path,
            reason: error.to_string(),
        })
    }

    /// Starts the process with the settings last written.
    pub async fn start(&mut self) -> Result<(), HarnessError> {
        let settings = self.folder.join(SETTINGS_FILE).display().to_string();
        let arguments = match self.kind {
            NodeKind::Role(role) => vec![
                "role".to_owned(),
                role.to_string(),
                "--threads".to_owned(),
                "2".to_owned(),
                "--settings".to_owned(),
                settings,
            ],
            NodeKind::StandIns => vec!["stand-ins".to_owned(), settings],
        };
        let process =
            ManagedProcess::start(&self.program, &self.name, &arguments, &self.folder).await?;
        let addresses = process.addresses();
        if let Some(http) = addresses.http {
            self.http_proxy.set_upstream(http);
        }
        if let Some(internal) = addresses.internal {
            self.internal_proxy.set_upstream(internal);
        }
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process (SIGKILL).
    pub async fn kill(&mut self) -> Result<(), HarnessError> {
        let mut process = self.take_process()?;
        process.kill().await
    }

    /// Stops the process as planned (SIGTERM) and waits for its end.
    pub async fn stop(&mut self) -> Result<ExitStatus, HarnessError> {
        let mut process = self.take_process()?;
        process.stop().await
    }

    /// Freezes the process (SIGSTOP).
    pub fn freeze(&self) -> Result<(), HarnessError> {
        self.running()?.freeze()
    }

    /// Lets the frozen process go on.
    pub fn thaw(&self) -> Result<(), HarnessError> {
        self.running()?.thaw()
    }

    /// What its processes wrote to standard error.
    pub fn errors(&self) -> String {
        let path = self.folder.join(format!("{}.stderr", self.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Removes everything under the data folder, as a lost disk does. The process must not run.
    pub fn lose_disk(&self) -> Result<(), HarnessError> {
        let path = self.data_folder();
        std::fs::remove_dir_all(&path).map_err(|error| HarnessError::File {
            step: "remove",
            path,
            reason: error.to_string(),
        })
    }

    /// The data folder of a control replica.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    fn running(&self) -> Result<&ManagedProcess, HarnessError> {
        self.process.as_ref().ok_or_else(|| self.not_running())
    }

    fn take_process(&mut self) -> Result<ManagedProcess, HarnessError> {
        self.process.take().ok_or_else(|| HarnessError::Process {
            step: "find",
            process: self.name.clone(),
            source: std::io::ErrorKind::NotFound.into(),
        })
    }

    fn not_running(&self) -> HarnessError {
        HarnessError::Process {
            step: "find",
            process: self.name.clone(),
            source: std::io::ErrorKind::NotFound.into(),
        }
    }
}
