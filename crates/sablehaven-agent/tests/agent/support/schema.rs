//! The schema of the tests and the replies of its methods.

use std::sync::LazyLock;

use prost_reflect::{DynamicMessage, Value};
use sablehaven_schema::DeploymentSchema;
use sablehaven_types::{ServiceName, ShardId, SnapshotId};

pub const FILE: &str = "test.proto";
pub const SERVICE: &str = "test.Stock";

pub const TEXT: &str = r#"
syntax = "proto3";
package test;
import "sablehaven/options.proto";

option (sablehaven.deployment) = {
  regions: { name: "north" zones: ["north-a", "north-b"] }
};

service Stock {
  rpc Search(SearchRequest) returns (SearchReply) {
    option (sablehaven.method) = {
      deadline_ms: 20000
      query: { concatenate: { field: "items" } sum: { fields: ["total"] } }
    };
  }
  rpc Get(GetRequest) returns (GetReply) {
    option (sablehaven.method) = { deadline_ms: 20000 lookup: { key: "id" } };
  }
  rpc Reserve(ReserveRequest) returns (ReserveReply) {
    option (sablehaven.method) = { deadline_ms: 20000 once: { key: "id" } };
  }
}

message SearchRequest { string text = 1; uint32 page = 2; }
message Item { string name = 1; }
message SearchReply { repeated Item items = 1; uint64 total = 2; }
message GetRequest { string id = 1; }
message GetReply { string name = 1; }
message ReserveRequest { string id = 1; uint32 quantity = 2; }
message ReserveReply { string reservation = 1; }
"#;

static SCHEMA: LazyLock<DeploymentSchema> =
    LazyLock::new(|| DeploymentSchema::parse(FILE, TEXT).expect("the test schema is valid"));

pub fn service() -> ServiceName {
    ServiceName::from(SERVICE)
}

/// Returns the encoded reply of a shard, which names the shard and the snapshot and, for a search, repeats the
/// requested text.
pub fn encode_reply(method: &str, request: &[u8], shard: ShardId, snapshot: SnapshotId) -> Vec<u8> {
    let method = SCHEMA
        .method(&service(), method)
        .expect("a method of the test schema");
    let request = DynamicMessage::decode(method.input.clone(), request).expect("a valid request");
    let mut reply = DynamicMessage::new(method.output.clone());
    let origin = origin_label(shard, snapshot);
    match method.name.as_str() {
        "Search" => {
            let item = method.output.get_field_by_name("items").expect("items");
            let prost_reflect::Kind::Message(item) = item.kind() else {
                panic!("items are messages");
            };
            let text = request.get_field_by_name("text").expect("text");
            let mut message = DynamicMessage::new(item);
            let name = format!("{} {origin}", text.as_str().expect("a string"));
            message.set_field_by_name("name", Value::String(name));
            reply.set_field_by_name("items", Value::List(vec![Value::Message(message)]));
            reply.set_field_by_name("total", Value::U64(1));
        }
        "Get" => reply.set_field_by_name("name", Value::String(origin)),
        _ => reply.set_field_by_name("reservation", Value::String(origin)),
    }
    prost::Message::encode_to_vec(&reply)
}

/// Returns the text by which replies name their shard and snapshot.
pub fn origin_label(shard: ShardId, snapshot: SnapshotId) -> String {
    format!("shard {shard} snapshot {snapshot}")
}
