//! A schema, a host and a client for the tests of the back ends.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use reqwest::{Client, RequestBuilder};
use sablehaven_history::ExecutionRecord;
use sablehaven_schema::DeploymentSchema;
use sablehaven_standins::{
    backend::{BackendSettings, HeldSnapshot},
    host::{self, HostFile, RunningHost},
};
use sablehaven_types::{BackendId, Placement, SchemaSource, ShardId, SnapshotId, http};

pub const SERVICE: &str = "test.Stock";
pub const SNAPSHOT: SnapshotId = SnapshotId {
    generation: 1,
    partition_map: 1,
};

/// A condition that has not come true after this long never will.
const PATIENCE: Duration = Duration::from_secs(20);

const SCHEMA: &str = r#"
    syntax = "proto3";
    package test;
    import "sablehaven/options.proto";
    option (sablehaven.deployment) = { regions: { name: "west" zones: ["west-1"] } };
    message Question { string item = 1; }
    message Depot { string name = 1; uint32 pallets = 2; }
    message Answer { repeated Depot depots = 1; }
    message Receipt { string item = 1; }
    service Stock {
      option (sablehaven.service) = { maximum_shards: 4 minimum_replicas: 1 };
      rpc Search(Question) returns (Answer) {
        option (sablehaven.method) = {
          deadline_ms: 500
          query: { concatenate: { field: "depots" } }
        };
      }
      rpc Reserve(Question) returns (Receipt) {
        option (sablehaven.method) = { deadline_ms: 500 once: { key: "item" } };
      }
    }
"#;

pub fn source() -> SchemaSource {
    SchemaSource {
        file_name: "test.proto".to_owned(),
        text: SCHEMA.to_owned(),
    }
}

pub fn schema() -> DeploymentSchema {
    DeploymentSchema::from_source(&source()).expect("valid schema")
}

pub fn settings(id: &str) -> BackendSettings {
    let placement = Placement {
        region: "west".into(),
        zone: "west-1".into(),
    };
    let held = HeldSnapshot {
        snapshot: SNAPSHOT,
        shards: BTreeSet::from([ShardId(0), ShardId(1)]),
    };
    BackendSettings {
        held: vec![held],
        ..BackendSettings::new(id.into(), SERVICE.into(), placement)
    }
}

pub async fn start(backends: Vec<BackendSettings>) -> RunningHost {
    let file = HostFile {
        schema: source(),
        admin_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        seed: 1,
        platform: None,
        baseline: None,
        backends,
    };
    let started = host::start(file).await;
    started.expect("host starts")
}

pub fn client() -> Client {
    let builder = Client::builder().http2_prior_knowledge().no_proxy();
    builder.build().expect("client")
}

/// An attempt at shard 0 of the first snapshot.
pub fn attempt(client: &Client, host: &RunningHost, id: &str, method: &str) -> RequestBuilder {
    let backend = host.backend(&BackendId::from(id)).expect("back end");
    let address = backend.record().address;
    client
        .post(format!("http://{address}/{SERVICE}/{method}"))
        .header(http::ATTEMPT, "7")
        .header(http::SHARD, "0")
        .header(http::SNAPSHOT, SNAPSHOT.to_string())
        .body(question("pasta"))
}

/// A `Question` in protobuf, written by hand: field 1, length-delimited.
pub fn question(item: &str) -> Vec<u8> {
    let mut body = vec![0x0a, item.len() as u8];
    body.extend_from_slice(item.as_bytes());
    body
}

/// Waits until the log holds `count` records.
pub async fn records(host: &RunningHost, count: usize) -> Vec<ExecutionRecord> {
    wait_until("the records are written", || host.log().len() >= count).await;
    host.log().page(0, usize::MAX)
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "waited in vain until {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
