//! A cluster of control replicas in one process, and test clients for its interfaces.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod forwarder;
pub mod gateway;
pub mod operator;
pub mod platform;
pub mod relay;
pub mod slow_disk;

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, OnceLock},
    time::Duration,
};

use sablehaven_consensus::ReplicaId;
use sablehaven_control::{
    ClientBudget, Config, Environment, Handle, Listeners, ServerSource, StartError, start_in,
};
use sablehaven_storage::{Disk, RealDisk};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{
    ApplyCommand, BackendId, Configuration, ConfigurationChange, IndexSnapshot, RoutingSettings,
    SchemaSource, ServiceConfiguration, ServiceName, ShardAssignment, ShardId, SnapshotId,
};
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Longest time to wait for a condition. Generous, since the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub const SERVICE: &str = "stock.Search";

const SCHEMA: &str = r#"
syntax = "proto3";
package stock;
import "sablehaven/options.proto";
option (sablehaven.deployment) = { regions: { name: "palermo" zones: ["palermo-a"] } };
service Search {
  option (sablehaven.service) = { maximum_shards: 64 minimum_replicas: 1 };
  rpc Get(GetRequest) returns (GetReply) {
    option (sablehaven.method) = { deadline_ms: 300 lookup: { key: "depot" } };
  }
}
message GetRequest { string depot = 1; }
message GetReply { string depot = 1; }
"#;

/// Installs a logger, so that a failing test shows the replicas' errors on standard error.
pub fn install_logger() {
    static INSTALLED: OnceLock<()> = OnceLock::new();
    INSTALLED.get_or_init(|| {
        // Fails when this process already has a logger, which serves as well.
        let _ = Telemetry::new("control test").install_logger();
    });
}

/// One machine of the cluster. It keeps its addresses and disk when its replica stops.
pub struct Machine {
    pub config: Config,
    pub handle: Option<Handle>,
    pub disk: Arc<dyn Disk>,
    /// Lists the servers that gateways send requests to.
    pub servers: Option<Arc<dyn ServerSource>>,
    listeners: Option<Listeners>,
}

/// A cluster of control replicas in one process.
pub struct Cluster {
    pub machines: Vec<Machine>,
    folder: TempDir,
}

async fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).await.expect("listen")
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Settings for tests, with a short lease.
pub fn test_config(folder: &Path) -> Config {
    Config {
        deployment: "test".to_owned(),
        data_folder: folder.to_owned(),
        ledger_groups: 2,
        lease_duration_ms: 1_500,
        ..Config::default()
    }
}

impl Machine {
    /// Binds the addresses of a machine without starting its replica.
    pub async fn new(folder: PathBuf) -> Self {
        let listeners = Listeners {
            internal: listen(any_port()).await,
            http: listen(any_port()).await,
        };
        let mut config = test_config(&folder);
        config.internal_listen = listeners.internal.local_addr().expect("address");
        config.http_listen = listeners.http.local_addr().expect("address");
        Self {
            config,
            handle: None,
            disk: Arc::new(RealDisk),
            servers: None,
            listeners: Some(listeners),
        }
    }

    pub async fn try_start(&mut self) -> Result<(), StartError> {
        let listeners = match self.listeners.take() {
            Some(listeners) => listeners,
            None => Listeners::bind(&self.config).await?,
        };
        let telemetry = Telemetry::new("control");
        let environment = Environment {
            listeners,
            disk: Arc::clone(&self.disk),
            servers: self.servers.clone(),
            clients: ClientBudget::new(self.config.clients.limits()),
        };
        let handle = start_in(self.config.clone(), telemetry, environment).await?;
        self.handle = Some(handle);
        Ok(())
    }

    pub async fn start(&mut self) {
        self.try_start().await.expect("start replica");
    }

    pub async fn kill(&mut self) {
        self.handle.take().expect("a running replica").kill().await;
    }

    pub async fn stop(&mut self) {
        self.handle.take().expect("a running replica").stop().await;
    }

    /// Removes the data folder, as if the disk were lost.
    pub fn lose_disk(&self) {
        std::fs::remove_dir_all(&self.config.data_folder).expect("remove data folder");
    }

    pub fn replica(&self) -> ReplicaId {
        self.handle.as_ref().expect("a running replica").replica()
    }

    pub fn http_address(&self) -> SocketAddr {
        self.config.http_listen
    }

    pub fn internal_address(&self) -> SocketAddr {
        self.config.internal_listen
    }
}

impl Cluster {
    /// Creates machines configured as peers of each other, without starting their replicas.
    pub async fn prepare(size: usize) -> Self {
        install_logger();
        let folder = TempDir::new().expect("temporary folder");
        let mut machines = Vec::new();
        for number in 0..size {
            machines.push(Machine::new(folder.path().join(format!("machine-{number}"))).await);
        }
        let addresses: Vec<SocketAddr> = machines.iter().map(Machine::internal_address).collect();
        for machine in &mut machines {
            machine.config.bootstrap = true;
            let own = machine.internal_address();
            let others = addresses.iter().filter(|address| **address != own);
            machine.config.peers = others.copied().collect();
        }
        Self { machines, folder }
    }

    /// Starts a cluster and waits until it has a leader.
    pub async fn start(size: usize) -> Self {
        let mut cluster = Self::prepare(size).await;
        cluster.start_all().await;
        cluster.leader().await;
        cluster
    }

    pub async fn start_all(&mut self) {
        for machine in &mut self.machines {
            if machine.handle.is_none() {
                machine.start().await;
            }
        }
    }

    /// Adds a machine with an empty disk and the others as its peers, without starting its replica.
    pub async fn add_machine(&mut self) -> usize {
        let number = self.machines.len();
        let folder = self.folder.path().join(format!("machine-{number}"));
        let mut machine = Machine::new(folder).await;
        machine.config.peers = self
            .machines
            .iter()
            .map(Machine::internal_address)
            .collect();
        self.machines.push(machine);
        number
    }

    pub fn operator(&self) -> operator::Operator {
        operator::Operator::new(self.machines.iter().map(Machine::http_address).collect())
    }

    /// Waits for a machine whose replica leads every group and has recorded the members.
    pub async fn leader(&self) -> usize {
        let operator = self.operator();
        wait_for("a leader", || async {
            for (number, machine) in self.machines.iter().enumerate() {
                let Some(handle) = &machine.handle else {
                    continue;
                };
                let Some(status) = operator.try_status(machine.http_address()).await else {
                    continue;
                };
                let leads_every_group = status
                    .groups
                    .iter()
                    .all(|group| group.leader == Some(handle.replica()) && group.applied > 0);
                if leads_every_group && !status.replicas.is_empty() {
                    return Some(number);
                }
            }
            None
        })
        .await
    }

    /// A machine whose replica is running and is not the leader.
    pub async fn follower(&self) -> usize {
        let leader = self.leader().await;
        let is_running = |number: &usize| self.machines[*number].handle.is_some();
        let others = (0..self.machines.len()).filter(|number| *number != leader);
        others.into_iter().find(is_running).expect("a follower")
    }
}

/// Polls until `poll` returns a value; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for<Output, Poll, PollFuture>(what: &str, mut poll: Poll) -> Output
where
    Poll: FnMut() -> PollFuture,
    PollFuture: Future<Output = Option<Output>>,
{
    let started = std::time::Instant::now();
    loop {
        if let Some(output) = poll().await {
            return output;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

pub fn service_configuration(generation: u64) -> ServiceConfiguration {
    ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation,
                partition_map: 1,
            },
            shards: vec![ShardAssignment {
                shard: ShardId(0),
                replicas: vec![BackendId::from("server-1")],
            }],
        },
        routing: RoutingSettings::default(),
    }
}

/// A valid command that creates the version after `expected_version`.
pub fn command(id: &str, expected_version: u64) -> ApplyCommand {
    let configuration = Configuration {
        version: 0,
        schema: SchemaSource {
            file_name: "schema.proto".to_owned(),
            text: SCHEMA.to_owned(),
        },
        services: [(
            ServiceName::from(SERVICE),
            service_configuration(expected_version + 1),
        )]
        .into(),
    };
    ApplyCommand {
        command_id: id.into(),
        operator: "olga".into(),
        reason: "a test".into(),
        expected_version,
        change: ConfigurationChange::ReplaceAll { configuration },
    }
}
