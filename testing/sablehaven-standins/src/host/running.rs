//! Starts the back ends of one process and stops them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use sablehaven_schema::{DeploymentSchema, SchemaProblem};
use sablehaven_types::{BackendId, BackendRecord};
use salvo::{Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpSocket, task::JoinHandle};

use super::{HostError, HostFile, admin};
use crate::{
    backend::{Backend, ExecutionLog, Network, Surroundings},
    baseline::BaselineAgent,
    platform::{Platform, hollow_machines},
};

/// The addresses of a running host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The administration interface.
    pub admin: SocketAddr,
    /// The platform's list, where this host serves it.
    pub platform: Option<SocketAddr>,
    /// The baseline agent's interface towards callers, where this host plays one.
    pub baseline: Option<SocketAddr>,
    /// The back ends.
    pub backends: Vec<BackendRecord>,
}

/// What the administration interface works on.
pub(crate) struct Hosted {
    pub backends: BTreeMap<BackendId, Backend>,
    pub log: ExecutionLog,
    pub network: Network,
    pub platform: Platform,
    /// Where the platform's list is served, once it is.
    pub platform_address: Option<SocketAddr>,
    /// Where the baseline agent answers, once it does.
    pub baseline_address: Option<SocketAddr>,
}

impl Hosted {
    /// The addresses, given that of the administration interface.
    pub(crate) fn report(&self, admin: SocketAddr) -> HostReport {
        HostReport {
            admin,
            platform: self.platform_address,
            baseline: self.baseline_address,
            backends: self.backends.values().map(Backend::record).collect(),
        }
    }
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
pub async fn start(file: HostFile) -> Result<RunningHost, HostError> {
    let schema = DeploymentSchema::from_source(&file.schema).map_err(schema_error)?;
    let schema = Arc::new(schema);
    let surroundings = Surroundings {
        schema: Arc::clone(&schema),
        log: ExecutionLog::default(),
        network: Network::default(),
    };
    let mut backends = BTreeMap::new();
    for (index, settings) in file.backends.into_iter().enumerate() {
        let seed = file.seed.wrapping_add(index as u64 + 1);
        let backend = Backend::start(settings, surroundings.clone(), seed).await?;
        backends.insert(backend.id().clone(), backend);
    }
    let mut records: Vec<_> = backends.values().map(Backend::record).collect();
    if let (Some(settings), Some(pattern)) = (&file.platform, records.first().cloned()) {
        records.extend(hollow_machines(&pattern, settings.hollow_machines));
    }
    let lag_ms = file.platform.as_ref().map_or(0, |platform| platform.lag_ms);
    let platform = Platform::new(lag_ms, records);
    let mut servers = Vec::new();
    let mut platform_address = None;
    if let Some(settings) = &file.platform {
        let (address, server) = serve("platform list", settings.listen, platform.router()).await?;
        platform_address = Some(address);
        servers.push(server);
    }
    let mut baseline_address = None;
    if let Some(settings) = &file.baseline {
        let agent = BaselineAgent::new(settings, Arc::clone(&schema));
        let agent = agent.map_err(|error| HostError::Baseline(error.to_string()))?;
        let (address, server) = serve("baseline agent", settings.listen, agent.router()).await?;
        baseline_address = Some(address);
        servers.push(server);
    }
    let hosted = Arc::new(Hosted {
        backends,
        log: surroundings.log,
        network: surroundings.network,
        platform,
        platform_address,
        baseline_address,
    });
    let router = admin::router(&hosted);
    let (admin, admin_server) = serve("administration", file.admin_listen, router).await?;
    servers.push(admin_server);
    let report = hosted.report(admin);
    Ok(RunningHost {
        hosted,
        report,
        servers,
    })
}

fn schema_error(problems: Vec<SchemaProblem>) -> HostError {
    let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
    HostError::Schema(problems.join("; "))
}

async fn serve(
    interface: &'static str,
    address: SocketAddr,
    router: salvo::Router,
) -> Result<(SocketAddr, (ServerHandle, JoinHandle<()>)), HostError> {
    let error = |reason: String| HostError::Bind {
        interface,
        address,
        reason,
    };
    let acceptor = bind_without_delay(address).map_err(|cause| error(cause.to_string()))?;
    let bound = acceptor.local_addr();
    let bound = bound.map_err(|cause| error(cause.to_string()))?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok((bound, (handle, task)))
}

/// Binds a listener whose connections send small replies at once; accepted connections inherit the
/// option on Linux. The baseline must not lose to the product by a delayed acknowledgement.
fn bind_without_delay(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    const BACKLOG: u32 = 1_024;
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}
