//! A cluster of control replicas in this process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_control::{ClientBudget, Config, Environment, Handle, Listeners, start_in};
use sablehaven_storage::RealDisk;
use sablehaven_telemetry::Telemetry;
use tokio::net::TcpListener;

use crate::{client::Relay, forwarder::Forwarder};

pub struct Replica {
    pub config: Config,
    pub telemetry: Telemetry,
    pub handle: Option<Handle>,
    listeners: Option<Listeners>,
}

pub struct Cluster {
    pub replicas: Vec<Replica>,
    /// The forwarder from each replica to each other one, with the numbers of both; empty if the
    /// replicas connect directly.
    pub forwarders: Vec<(usize, usize, Forwarder)>,
}

async fn listen() -> TcpListener {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    TcpListener::bind(any_port).await.expect("listen")
}

impl Replica {
    async fn new(folder: &Path, name: &str) -> Self {
        let listeners = Listeners {
            internal: listen().await,
            http: listen().await,
        };
        let config = Config {
            deployment: "bench".to_owned(),
            internal_listen: listeners.internal.local_addr().expect("address"),
            http_listen: listeners.http.local_addr().expect("address"),
            data_folder: folder.join(name),
            bootstrap: true,
            ..Config::default()
        };
        Self {
            config,
            telemetry: Telemetry::new("control"),
            handle: None,
            listeners: Some(listeners),
        }
    }

    pub async fn start(&mut self) {
        let listeners = match self.listeners.take() {
            Some(listeners) => listeners,
            None => Listeners::bind(&self.config).await.expect("listen"),
        };
        self.telemetry = Telemetry::new("control");
        let telemetry = self.telemetry.clone();
        let environment = Environment {
            listeners,
            disk: Arc::new(RealDisk),
            servers: None,
            clients: ClientBudget::new(self.config.clients.limits()),
        };
        let handle = start_in(self.config.clone(), telemetry, environment).await;
        self.handle = Some(handle.expect("start replica"));
    }

    pub fn internal_address(&self) -> SocketAddr {
        self.config.internal_listen
    }

    /// Value of a metric of this replica, by its name without the common prefix; 0 if there is none.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.telemetry.encode_metrics();
        let value = text.lines().find_map(|line| {
            let value = line
                .strip_prefix("sablehaven_control_")?
                .strip_prefix(name)?;
            value.trim().parse().ok()
        });
        value.unwrap_or(0)
    }
}

impl Cluster {
    pub async fn prepare(folder: &Path, name: &str, size: usize, with_forwarders: bool) -> Self {
        let mut replicas = Vec::new();
        for number in 0..size {
            replicas.push(Replica::new(folder, &format!("{name}-{number}")).await);
        }
        let mut forwarders = Vec::new();
        for from in 0..size {
            for to in (0..size).filter(|to| *to != from) {
                let mut address = replicas[to].internal_address();
                if with_forwarders {
                    let forwarder = Forwarder::start(address).await;
                    address = forwarder.address;
                    forwarders.push((from, to, forwarder));
                }
                replicas[from].config.peers.push(address);
            }
        }
        Self {
            replicas,
            forwarders,
        }
    }

    pub async fn start(&mut self) {
        for replica in &mut self.replicas {
            if replica.handle.is_none() {
                replica.start().await;
            }
        }
    }

    /// Waits until a running replica grants a lease and a claim, and returns it.
    pub async fn leader(&self) -> usize {
        loop {
            for (number, replica) in self.replicas.iter().enumerate() {
                if replica.handle.is_none() {
                    continue;
                }
                let Some(mut relay) = Relay::connect(replica.internal_address()).await else {
                    continue;
                };
                if relay.request_lease().await && relay.claim_once().await {
                    return number;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until the same replica is the leader before and after a pause, so that the leadership of the
    /// ledger groups has followed it.
    pub async fn stable_leader(&self) -> usize {
        loop {
            let leader = self.leader().await;
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            if self.leader().await == leader {
                return leader;
            }
        }
    }

    /// Time from `started` until a replica other than `former_leader` grants a lease and a claim.
    pub async fn wait_for_next_leader(&self, former_leader: usize, started: Instant) -> Duration {
        loop {
            let others = (0..self.replicas.len()).filter(|number| *number != former_leader);
            for number in others {
                let Some(mut relay) =
                    Relay::connect(self.replicas[number].internal_address()).await
                else {
                    continue;
                };
                if relay.request_lease().await && relay.claim_once().await {
                    return started.elapsed();
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub async fn stop(self) {
        for replica in self.replicas {
            if let Some(handle) = replica.handle {
                handle.kill().await;
            }
        }
    }
}
