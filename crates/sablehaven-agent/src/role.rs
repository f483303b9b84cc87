//! Starting and stopping the agent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_routing::AgentLocation;
use sablehaven_subscription::{AgentIdentity, Subscription};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{AgentId, BoundAddresses};
use salvo::{Router, Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use tokio::{net::TcpSocket, task::JoinHandle, time::timeout};

use crate::{
    agent::Agent,
    config::Config,
    interface::CallHandler,
    metrics::Metrics,
    plan::PlanBuilder,
    routing::{Observer, PolicyFactory, service_routers},
    transport::ConnectionSettings,
    updates::follow,
};

/// Errors of starting an agent; each names the step and the place.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// listen for callers on {address}: {cause}
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
}

/// A running agent.
pub struct Handle {
    agent: Arc<Agent>,
    telemetry: Telemetry,
    address: SocketAddr,
    server: ServerHandle,
    serving: Option<JoinHandle<std::io::Result<()>>>,
    following: JoinHandle<String>,
}

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Starts an agent. It is ready once its first configuration has come.
pub async fn start(config: Config, telemetry: Telemetry) -> Result<Handle, StartError> {
    start_with_policies(config, telemetry, service_routers()).await
}

/// Starts an agent with other routing decisions than [`sablehaven_routing::ServiceRouter`]'s, for
/// benchmarks against a baseline.
pub async fn start_with_policies(
    config: Config,
    telemetry: Telemetry,
    policies: PolicyFactory,
) -> Result<Handle, StartError> {
    let acceptor = listen(config.http_listen).await?;
    let address = local_address(&acceptor, config.http_listen)?;
    let identity = AgentIdentity {
        agent: agent_id(&config),
        placement: config.placement.clone(),
        interest: config.interest.clone(),
    };
    let site = AgentLocation {
        agent: identity.agent.clone(),
        placement: identity.placement.clone(),
    };
    let mut subscription_config = config.subscription.clone();
    subscription_config
        .deployment
        .clone_from(&config.deployment);
    subscription_config.connect_from = config.connect_from;
    let subscription = Subscription::start(subscription_config, identity);
    subscription.metrics().register(&telemetry);
    let connections = connection_settings(&config);
    let observer = observer(&subscription);
    let metrics = Metrics::new(&telemetry);
    let agent = Arc::new(Agent::new(config, subscription, metrics));
    let builder = PlanBuilder::new(site, connections, policies, observer);
    let following = tokio::spawn(follow(Arc::clone(&agent), builder, telemetry.clone()));
    let server = Server::new(acceptor);
    let server_handle = server.handle();
    let router = router(&agent, &telemetry);
    let serving = tokio::spawn(server.try_serve(router));
    Ok(Handle {
        agent,
        telemetry,
        address,
        server: server_handle,
        serving: Some(serving),
        following,
    })
}

impl Handle {
    /// Where the agent listens.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses {
            http: Some(self.address),
            internal: None,
        }
    }

    /// The number of connections to back ends that are kept open.
    pub fn backend_connections(&self) -> usize {
        let plan = self.agent.plan();
        let services = plan.services.values();
        services.map(|service| service.connections.len()).sum()
    }

    /// Planned stop. The order must hold: not ready, so that callers go elsewhere; notice, while
    /// requests are still taken and answered with the advice to reconnect; listener closed; requests
    /// in flight finished; outcomes recorded; and only then the subscription left, which carries
    /// the recording.
    pub async fn stop(mut self) {
        self.telemetry.set_ready(false);
        self.agent.begin_stop();
        let timing = self.agent.config.timing.clone();
        tokio::time::sleep(timing.stop_notice()).await;
        self.server.stop_graceful(timing.stop_limit());
        if let Some(serving) = self.serving.take()
            && let Ok(Err(error)) = serving.await
        {
            log::error!("serve callers on {}: {error}", self.address);
        }
        self.finish_once_tasks(timing.stop_limit()).await;
        self.following.abort();
        self.agent.subscription.clone().stop().await;
    }

    /// Resolves only if the agent cannot go on; says why.
    pub async fn failed(&mut self) -> String {
        let Some(serving) = self.serving.as_mut() else {
            return std::future::pending().await;
        };
        tokio::select! {
            result = serving => {
                // A task that has ended must not be awaited again.
                self.serving = None;
                format!("serve callers on {}: ended with {result:?}", self.address)
            }
            result = &mut self.following => {
                result.unwrap_or_else(|error| format!("follow the shared state: {error}"))
            }
        }
    }
}

impl Handle {
    async fn finish_once_tasks(&self, limit: Duration) {
        self.agent.once_tasks.close();
        if timeout(limit, self.agent.once_tasks.wait()).await.is_err() {
            let left = self.agent.once_tasks.len();
            log::error!("planned stop: {left} outcomes not recorded within {limit:?}");
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpAcceptor, StartError> {
    bind_without_delay(address).map_err(|error| StartError::Listen {
        address,
        cause: error.to_string(),
    })
}

/// Binds a listener whose connections send small replies at once.
///
/// Accepted connections inherit the option on Linux. Without it the body of a reply waits for the
/// acknowledgement of its headers, which callers delay by up to 40 ms (RFC 1122, section 4.2.3.4).
fn bind_without_delay(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)?.try_into()
}

fn local_address(acceptor: &TcpAcceptor, address: SocketAddr) -> Result<SocketAddr, StartError> {
    acceptor
        .inner()
        .local_addr()
        .map_err(|error| StartError::Listen {
            address,
            cause: error.to_string(),
        })
}

fn router(agent: &Arc<Agent>, telemetry: &Telemetry) -> Router {
    let handler = CallHandler {
        agent: Arc::clone(agent),
    };
    Router::new()
        .push(telemetry.router())
        .push(Router::with_path("{service}/{method}").post(handler))
}

/// Unique for each start of the process: the zone for the reader, a random number for the rest.
fn agent_id(config: &Config) -> AgentId {
    let number: u64 = rand::random();
    AgentId(format!("{}-{number:016x}", config.placement.zone))
}

fn connection_settings(config: &Config) -> ConnectionSettings {
    ConnectionSettings {
        connect_from: config.connect_from,
        connect: config.timing.connect(),
        ping: config.timing.connection_ping(),
        reply_body_bytes: config.limits.reply_body_bytes,
    }
}

fn observer(subscription: &Subscription) -> Observer {
    let subscription = subscription.clone();
    Arc::new(move |observation| subscription.observe(observation))
}
