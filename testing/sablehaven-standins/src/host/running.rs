//! Starts the back ends of one process and stops them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use sablehaven_types::{BackendId, BackendRecord};
use salvo::{Listener, Server, conn::TcpListener, server::ServerHandle};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use super::{admin, file::HostFile};
use crate::{
    backend::{Backend, BackendError, ExecutionLog},
    methods::MethodTable,
    platform::Platform,
};

/// Errors of starting a host.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// load schema: {0}
    Schema(String),
    /// start back end: {0}
    Backend(#[from] BackendError),
    /// bind {interface} to {address}: {reason}
    Bind {
        /// The interface.
        interface: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        reason: String,
    },
}

/// The addresses of a running host; its process writes them as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The administration interface.
    pub admin: SocketAddr,
    /// The platform's list, where this host serves it.
    pub platform: Option<SocketAddr>,
    /// The back ends.
    pub backends: Vec<BackendRecord>,
}

/// What the administration interface works on.
pub(crate) struct Hosted {
    pub backends: BTreeMap<BackendId, Backend>,
    pub log: ExecutionLog,
    pub platform: Platform,
}

/// A host whose back ends answer.
pub struct RunningHost {
    hosted: Arc<Hosted>,
    report: HostReport,
    servers: Vec<(ServerHandle, JoinHandle<()>)>,
}

impl RunningHost {
    /// The addresses.
    pub fn report(&self) -> &HostReport {
        &self.report
    }

    /// One back end.
    pub fn backend(&self, id: &BackendId) -> Option<&Backend> {
        self.hosted.backends.get(id)
    }

    /// All back ends, ascending by identifier.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.hosted.backends.values()
    }

    /// The log of every request that reached the back ends.
    pub fn log(&self) -> &ExecutionLog {
        &self.hosted.log
    }

    /// The platform's list.
    pub fn platform(&self) -> &Platform {
        &self.hosted.platform
    }

    /// Stops everything at once.
    pub async fn stop(self) {
        for (handle, task) in self.servers {
            handle.stop_forceful();
            // An error would be a panic of the server's task; it is gone either way.
            let _ = task.await;
        }
        for backend in self.hosted.backends.values() {
            backend.lose().await;
        }
    }
}

/// Starts the back ends of a host file against its schema.
pub async fn start(file: HostFile) -> Result<RunningHost, StartError> {
    let methods = MethodTable::from_schema(&file.schema).map_err(StartError::Schema)?;
    start_with_methods(file, methods).await
}

/// Starts the back ends of a host file against a table of methods in place of its schema.
pub async fn start_with_methods(
    file: HostFile,
    methods: MethodTable,
) -> Result<RunningHost, StartError> {
    let log = ExecutionLog::default();
    let methods = Arc::new(methods);
    let mut backends = BTreeMap::new();
    for (index, settings) in file.backends.into_iter().enumerate() {
        let seed = file.seed.wrapping_add(index as u64 + 1);
        let backend = Backend::start(settings, Arc::clone(&methods), log.clone(), seed).await?;
        backends.insert(backend.id().clone(), backend);
    }
    let records: Vec<_> = backends.values().map(Backend::record).collect();
    let lag_ms = file.platform.as_ref().map_or(0, |platform| platform.lag_ms);
    let platform = Platform::new(lag_ms, records.clone());
    let hosted = Arc::new(Hosted {
        backends,
        log,
        platform,
    });
    let (admin_address, admin_server) =
        serve("administration", file.admin_listen, admin::router(&hosted)).await?;
    let mut servers = vec![admin_server];
    let mut platform_address = None;
    if let Some(settings) = file.platform {
        let router = hosted.platform.router();
        let (address, server) = serve("platform list", settings.listen, router).await?;
        platform_address = Some(address);
        servers.push(server);
    }
    let report = HostReport {
        admin: admin_address,
        platform: platform_address,
        backends: records,
    };
    Ok(RunningHost {
        hosted,
        report,
        servers,
    })
}

async fn serve(
    interface: &'static str,
    address: SocketAddr,
    router: salvo::Router,
) -> Result<(SocketAddr, (ServerHandle, JoinHandle<()>)), StartError> {
    let error = |reason: String| StartError::Bind {
        interface,
        address,
        reason,
    };
    let listener = TcpListener::new(address).try_bind().await;
    let acceptor = listener.map_err(|cause| error(cause.to_string()))?;
    let bound = acceptor.local_addr();
    let bound = bound.map_err(|cause| error(cause.to_string()))?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok((bound, (handle, task)))
}
