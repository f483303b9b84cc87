//! The control service of a run: a scripted test double or three real replicas.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use reqwest::{Client, StatusCode};
use sablehaven_control::{
    ClientBudget, Environment, Listeners, operator::OperatorError, operator::paths, start_in,
};
use sablehaven_storage::RealDisk;
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, Configuration, ConfigurationChange, SchemaSource,
};
use tempfile::TempDir;
use tokio::{net::TcpListener, time::sleep};

use crate::{
    control_double::{ControlDouble, DEPLOYMENT},
    fleet::{REGION_LATENCY, SERVICES, placement, service_name, snapshot_change, state},
    latency::start_delaying_forwarder,
};

/// Number of real control replicas, each in its own region.
const REPLICAS: usize = 3;

/// Delay before a command is sent again while there is no leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A committed configuration change.
pub struct Commit {
    /// The configuration version that the change created.
    pub version: u64,
    /// When the change was accepted: for the double, just before it commits; for real replicas,
    /// when the reply of the leader arrives.
    pub accepted_at: Instant,
}

/// The control service of a run.
pub enum ControlService {
    /// A scripted test double, which commits at once.
    Double(ControlDouble),
    /// Three real replicas.
    Real(RealControl),
}

/// Real replicas that store their data in one temporary folder, with the latency between regions on
/// every connection to a replica's internal address.
pub struct RealControl {
    internal: Vec<SocketAddr>,
    http: Vec<SocketAddr>,
    client: Client,
    version: AtomicU64,
    _handles: Vec<sablehaven_control::Handle>,
    _folder: TempDir,
}

impl ControlService {
    /// Returns the addresses that relays connect to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        match self {
            Self::Double(double) => vec![double.address],
            Self::Real(real) => real.internal.clone(),
        }
    }

    /// Returns the newest configuration version.
    pub fn version(&self) -> u64 {
        match self {
            Self::Double(double) => double.script().state.configuration_version,
            Self::Real(real) => real.version.load(Ordering::Relaxed),
        }
    }

    /// Commits a new snapshot of one service.
    pub async fn commit(&self, number: usize) -> Commit {
        match self {
            Self::Double(double) => {
                let accepted_at = Instant::now();
                double.commit(snapshot_change(number));
                Commit {
                    version: self.version(),
                    accepted_at,
                }
            }
            Self::Real(real) => real.publish(number).await,
        }
    }
}

impl RealControl {
    /// Starts the replicas and applies the initial configuration.
    pub async fn start() -> Self {
        let folder = TempDir::new().expect("create a temporary folder");
        let mut listeners = Vec::new();
        let mut internal = Vec::new();
        let mut http = Vec::new();
        for _ in 0..REPLICAS {
            let replica = Listeners {
                internal: listen().await,
                http: listen().await,
            };
            let address = replica.internal.local_addr().expect("local address");
            internal.push(start_delaying_forwarder(address, REGION_LATENCY).await);
            http.push(replica.http.local_addr().expect("local address"));
            listeners.push(replica);
        }
        let mut handles = Vec::new();
        for (index, replica) in listeners.into_iter().enumerate() {
            let peers = internal
                .iter()
                .filter(|address| **address != internal[index]);
            let config = sablehaven_control::Config {
                deployment: DEPLOYMENT.to_owned(),
                internal_listen: replica.internal.local_addr().expect("local address"),
                http_listen: http[index],
                internal_advertise: Some(internal[index]),
                placement: placement(),
                data_folder: folder.path().join(format!("replica-{index}")),
                peers: peers.copied().collect(),
                bootstrap: true,
                election_seed: index as u64,
                ..Default::default()
            };
            let environment = Environment {
                listeners: replica,
                disk: Arc::new(RealDisk),
                servers: None,
                clients: ClientBudget::new(config.clients.limits()),
            };
            let started = start_in(config, Telemetry::new("control"), environment);
            handles.push(started.await.expect("start control replica"));
        }
        let real = Self {
            internal,
            http,
            client: Client::builder()
                .no_proxy()
                .build()
                .expect("build the HTTP client"),
            version: AtomicU64::new(0),
            _handles: handles,
            _folder: folder,
        };
        let configuration = initial_configuration();
        real.apply(ConfigurationChange::ReplaceAll { configuration })
            .await;
        real
    }

    async fn publish(&self, number: usize) -> Commit {
        let service = service_name(number % SERVICES);
        let update = snapshot_change(number);
        let configuration = update.services.into_values().flatten().next();
        let snapshot = configuration
            .expect("the change contains one service")
            .snapshot;
        self.apply(ConfigurationChange::PublishSnapshot { service, snapshot })
            .await
    }

    /// Applies a change to the newest version. Sends it to the leader named in the error reply, if
    /// any, and retries until a replica accepts it.
    async fn apply(&self, change: ConfigurationChange) -> Commit {
        let expected_version = self.version.load(Ordering::Relaxed);
        let command = ApplyCommand {
            command_id: format!("command-{expected_version}").into(),
            operator: "bench".into(),
            reason: String::new(),
            expected_version,
            change,
        };
        let mut address = self.http[0];
        loop {
            let url = format!("http://{address}{}", paths::APPLY);
            let response = self.client.post(url).json(&command).send().await;
            let response = response.expect("receive a response");
            if response.status() == StatusCode::OK {
                let accepted_at = Instant::now();
                let outcome: ApplyOutcome =
                    response.json().await.expect("decode the apply outcome");
                return self.record_outcome(outcome, accepted_at);
            }
            let error: OperatorError = response.json().await.expect("decode the operator error");
            address = error.leader.unwrap_or(address);
            sleep(RETRY_DELAY).await;
        }
    }

    fn record_outcome(&self, outcome: ApplyOutcome, accepted_at: Instant) -> Commit {
        match outcome {
            ApplyOutcome::Accepted { version } => {
                self.version.store(version, Ordering::Relaxed);
                Commit {
                    version,
                    accepted_at,
                }
            }
            other => panic!("change was not accepted: {other:?}"),
        }
    }
}

async fn listen() -> TcpListener {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    TcpListener::bind(any_port).await.expect("bind a listener")
}

/// Returns the initial state of the double, with a schema that the real control service accepts.
fn initial_configuration() -> Configuration {
    let full_state = state(SERVICES, crate::fleet::BACKENDS);
    let services = full_state.services.into_iter();
    let services = services.filter_map(|(name, service)| Some((name, service?)));
    Configuration {
        version: 0,
        schema: SchemaSource {
            file_name: "schema.proto".to_owned(),
            text: schema_text(),
        },
        services: services.collect(),
    }
}

fn schema_text() -> String {
    let mut text = String::from(
        r#"syntax = "proto3";
package trinacria.stock;
import "sablehaven/options.proto";
option (sablehaven.deployment) = { regions: { name: "sicilia-ovest" zones: ["palermo-1"] } };
message GetRequest { string depot = 1; }
message GetReply { string depot = 1; }
"#,
    );
    for number in 0..SERVICES {
        text.push_str(&format!(
            r#"service Service{number} {{
  option (sablehaven.service) = {{ maximum_shards: 64 minimum_replicas: 1 }};
  rpc Get(GetRequest) returns (GetReply) {{
    option (sablehaven.method) = {{ deadline_ms: 300 lookup: {{ key: "depot" }} }};
  }}
}}
"#
        ));
    }
    text
}
