//! A schema, a host and a client for the tests of the back ends.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use prost_reflect::DescriptorPool;
use reqwest::{Client, RequestBuilder};
use sablehaven_history::{CallKind, ExecutionRecord};
use sablehaven_standins::{
    backend::{BackendSettings, HeldSnapshot},
    host::{self, HostFile, RunningHost},
    methods::{Method, MethodTable},
};
use sablehaven_types::{BackendId, Placement, ServiceName, ShardId, SnapshotId, http};

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
    message Question { string item = 1; uint32 limit = 2; }
    message Depot { string name = 1; uint32 pallets = 2; }
    message Answer { repeated Depot depots = 1; }
    message Receipt { string item = 1; }
    service Stock {
      rpc Search(Question) returns (Answer);
      rpc Reserve(Question) returns (Receipt);
    }
"#;

pub fn methods() -> MethodTable {
    let pool = pool();
    let service = pool.get_service_by_name(SERVICE).expect("service");
    let methods = service.methods().map(|method| Method {
        service: ServiceName::from(SERVICE),
        name: method.name().to_owned(),
        kind: match method.name() {
            "Reserve" => CallKind::Once,
            _ => CallKind::QueryConcatenated,
        },
        input: method.input(),
        output: method.output(),
    });
    MethodTable::new(methods.collect::<Vec<_>>())
}

fn pool() -> DescriptorPool {
    let mut compiler = protox::Compiler::with_file_resolver(Source);
    compiler.open_file("test.proto").expect("schema compiles");
    compiler.descriptor_pool()
}

struct Source;

impl protox::file::FileResolver for Source {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        protox::file::File::from_source(name, SCHEMA)
    }
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
        schema: sablehaven_types::SchemaSource::default(),
        admin_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        seed: 1,
        platform: None,
        backends,
    };
    let started = host::start_with_methods(file, methods()).await;
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
