//! The control side of a run: a scripted double, or three real replicas.

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
    Environment, Listeners, operator::OperatorError, operator::paths, start_in,
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
    latency::delayed,
};

/// Replicas of real control, each in a region of its own.
const REPLICAS: usize = 3;

/// Pause before a command is sent again while there is no leader.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A committed change.
pub struct Commit {
    /// The version of the configuration that it made.
    pub version: u64,
    /// When it was accepted: committed by the double, or answered by the leader.
    pub accepted: Instant,
}

/// The control side.
pub enum ControlSide {
    /// A scripted double: commits at once.
    Double(ControlDouble),
    /// Real replicas.
    Real(RealControl),
}

/// Real replicas on disks of one folder, with the latency between regions on every link.
pub struct RealControl {
    internal: Vec<SocketAddr>,
    http: Vec<SocketAddr>,
    client: Client,
    version: AtomicU64,
    _handles: Vec<sablehaven_control::Handle>,
    _folder: TempDir,
}

impl ControlSide {
    /// The addresses that relays connect to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        match self {
            Self::Double(double) => vec![double.address],
            Self::Real(real) => real.internal.clone(),
        }
    }

    /// The newest version of the configuration.
    pub fn version(&self) -> u64 {
        match self {
            Self::Double(double) => double.script().state.configuration_version,
            Self::Real(real) => real.version.load(Ordering::Relaxed),
        }
    }

    /// Commits one change: a new snapshot of one service.
    pub async fn commit(&self, number: usize) -> Commit {
        match self {
            Self::Double(double) => {
                let accepted = Instant::now();
                double.commit(snapshot_change(number));
                Commit {
                    version: self.version(),
                    accepted,
                }
            }
            Self::Real(real) => real.publish(number).await,
        }
    }
}

impl RealControl {
    /// Starts the replicas and applies the first configuration.
    pub async fn start() -> Self {
        let folder = TempDir::new().expect("temporary folder");
        let mut listeners = Vec::new();
        let mut internal = Vec::new();
        let mut http = Vec::new();
        for _ in 0..REPLICAS {
            let replica = Listeners {
                internal: listen().await,
                http: listen().await,
            };
            let address = replica.internal.local_addr().expect("address");
            internal.push(delayed(address, REGION_LATENCY).await);
            http.push(replica.http.local_addr().expect("address"));
            listeners.push(replica);
        }
        let mut handles = Vec::new();
        for (number, replica) in listeners.into_iter().enumerate() {
            let others = internal
                .iter()
                .filter(|address| **address != internal[number]);
            let config = sablehaven_control::Config {
                deployment: DEPLOYMENT.to_owned(),
                internal_listen: replica.internal.local_addr().expect("address"),
                http_listen: http[number],
                internal_advertise: Some(internal[number]),
                placement: placement(),
                data_folder: folder.path().join(format!("replica-{number}")),
                peers: others.copied().collect(),
                bootstrap: true,
                election_seed: number as u64,
                ..Default::default()
            };
            let environment = Environment {
                listeners: replica,
                disk: Arc::new(RealDisk),
                servers: None,
            };
            let started = start_in(config, Telemetry::new("control"), environment);
            handles.push(started.await.expect("start control"));
        }
        let real = Self {
            internal,
            http,
            client: Client::builder().no_proxy().build().expect("client"),
            version: AtomicU64::new(0),
            _handles: handles,
            _folder: folder,
        };
        let configuration = first_configuration();
        real.apply(ConfigurationChange::ReplaceAll { configuration })
            .await;
        real
    }

    async fn publish(&self, number: usize) -> Commit {
        let service = service_name(number % SERVICES);
        let update = snapshot_change(number);
        let configured = update.services.into_values().flatten().next();
        let snapshot = configured.expect("one service").snapshot;
        self.apply(ConfigurationChange::PublishSnapshot { service, snapshot })
            .await
    }

    /// Applies a change against the newest version; goes where it is sent.
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
            let response = response.expect("an answer");
            if response.status() == StatusCode::OK {
                let accepted = Instant::now();
                let outcome: ApplyOutcome = response.json().await.expect("an outcome");
                return self.note(outcome, accepted);
            }
            let error: OperatorError = response.json().await.expect("an error");
            address = error.leader.unwrap_or(address);
            sleep(RETRY_PAUSE).await;
        }
    }

    fn note(&self, outcome: ApplyOutcome, accepted: Instant) -> Commit {
        match outcome {
            ApplyOutcome::Accepted { version } => {
                self.version.store(version, Ordering::Relaxed);
                Commit { version, accepted }
            }
            other => panic!("not accepted: {other:?}"),
        }
    }
}

async fn listen() -> TcpListener {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    TcpListener::bind(any_port).await.expect("listen")
}

/// The double's first state, with a schema that real control accepts.
fn first_configuration() -> Configuration {
    let whole = state(SERVICES, crate::fleet::BACKENDS);
    let services = whole.services.into_iter();
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
