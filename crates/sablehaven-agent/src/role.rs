//! Start and stop of the agent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_http::ClientBudget;
use sablehaven_routing::AgentLocation;
use sablehaven_subscription::{AgentIdentity, Subscription};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{AgentId, BoundAddresses};
use sablehaven_web::{MAX_HEADER_BYTES, bounded_server};
use salvo::{Router, server::ServerHandle};
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};

use crate::{
    agent::Agent,
    config::Config,
    interface::CallHandler,
    metrics::Metrics,
    plan::PlanBuilder,
    routing::{Observer, PolicyFactory, service_router_factory},
    transport::ConnectionSettings,
    updates::run_updates,
};

/// An error when starting an agent.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// cannot listen for callers on {address}: {cause}
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
    server_task: Option<JoinHandle<std::io::Result<()>>>,
    update_task: JoinHandle<String>,
}

/// Starts an agent. It becomes ready once it has received its first usable configuration.
pub async fn start(config: Config, telemetry: Telemetry) -> Result<Handle, StartError> {
    start_with_policies(config, telemetry, service_router_factory()).await
}

/// Starts an agent with a custom routing policy in place of [`sablehaven_routing::ServiceRouter`],
/// for benchmarks against a baseline.
pub async fn start_with_policies(
    config: Config,
    telemetry: Telemetry,
    policies: PolicyFactory,
) -> Result<Handle, StartError> {
    let listener = listen(&config)?;
    let address = local_address(&listener, config.http_listen)?;
    let clients = ClientBudget::new(config.clients.limits());
    telemetry.register(|registry| clients.register_metrics(registry));
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
    let update_task = tokio::spawn(run_updates(Arc::clone(&agent), builder, telemetry.clone()));
    let router = router(&agent, &telemetry);
    let share = clients.listener(clients.limits().connections(MAX_HEADER_BYTES));
    let server = bounded_server(listener, share, router);
    let (server, service) = server.map_err(|error| listen_error(address, &error))?;
    let server_handle = server.handle();
    let server_task = tokio::spawn(server.try_serve(service));
    Ok(Handle {
        agent,
        telemetry,
        address,
        server: server_handle,
        server_task: Some(server_task),
        update_task,
    })
}

impl Handle {
    /// Returns the addresses on which the agent listens.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses {
            http: Some(self.address),
            internal: None,
        }
    }

    /// Returns the number of back ends to which the agent keeps a connection.
    pub fn backend_connections(&self) -> usize {
        let plan = self.agent.plan();
        let services = plan.services.values();
        services.map(|service| service.connections.len()).sum()
    }

    /// Performs a planned stop. The steps must run in this order:
    ///
    /// 1. Report "not ready", so that callers use another agent.
    /// 2. Wait for the notice period. Requests are still accepted; responses ask callers to reconnect.
    /// 3. Close the listener and finish the requests in flight.
    /// 4. Record the outcomes of at-most-once requests.
    /// 5. Close the subscription, which the recording needs.
    pub async fn stop(mut self) {
        self.telemetry.set_ready(false);
        self.agent.begin_stop();
        let timing = self.agent.config.timing.clone();
        tokio::time::sleep(timing.stop_notice()).await;
        self.server.stop_graceful(timing.stop_timeout());
        if let Some(server_task) = self.server_task.take()
            && let Ok(Err(error)) = server_task.await
        {
            log::error!("the server for callers on {} failed: {error}", self.address);
        }
        self.finish_once_tasks(timing.stop_timeout()).await;
        self.update_task.abort();
        self.agent.subscription.clone().stop().await;
    }

    /// Completes only if the agent cannot continue, and returns the cause.
    pub async fn failed(&mut self) -> String {
        let Some(server_task) = self.server_task.as_mut() else {
            return std::future::pending().await;
        };
        tokio::select! {
            result = server_task => {
                // A completed task must not be awaited again.
                self.server_task = None;
                format!("the server for callers on {} ended: {result:?}", self.address)
            }
            result = &mut self.update_task => {
                result.unwrap_or_else(|error| format!("the configuration update task failed: {error}"))
            }
        }
    }
}

impl Handle {
    async fn finish_once_tasks(&self, limit: Duration) {
        self.agent.once_tasks.close();
        if timeout(limit, self.agent.once_tasks.wait()).await.is_err() {
            let left = self.agent.once_tasks.len();
            log::error!(
                "planned stop: outcomes of {left} requests may be unrecorded after {limit:?}"
            );
        }
    }
}

fn listen(config: &Config) -> Result<TcpListener, StartError> {
    let address = config.http_listen;
    let listener = sablehaven_http::listen(address, config.clients.socket_buffer_bytes);
    listener.map_err(|error| listen_error(address, &error))
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    let local = listener.local_addr();
    local.map_err(|error| listen_error(address, &error))
}

fn listen_error(address: SocketAddr, error: &std::io::Error) -> StartError {
    StartError::Listen {
        address,
        cause: error.to_string(),
    }
}

fn router(agent: &Arc<Agent>, telemetry: &Telemetry) -> Router {
    let handler = CallHandler {
        agent: Arc::clone(agent),
    };
    Router::new()
        .push(telemetry.router())
        .push(Router::with_path("{service}/{method}").post(handler))
}

/// Creates an id that is unique for each start of the process: the zone, for readability, and a
/// random number.
fn agent_id(config: &Config) -> AgentId {
    let number: u64 = rand::random();
    AgentId(format!("{}-{number:016x}", config.placement.zone))
}

fn connection_settings(config: &Config) -> ConnectionSettings {
    ConnectionSettings {
        connect_from: config.connect_from,
        connect_timeout: config.timing.connect_timeout(),
        ping_interval: config.timing.ping_interval(),
        max_reply_body_bytes: config.limits.reply_body_bytes,
    }
}

fn observer(subscription: &Subscription) -> Observer {
    let subscription = subscription.clone();
    Arc::new(move |observation| subscription.observe(observation))
}
