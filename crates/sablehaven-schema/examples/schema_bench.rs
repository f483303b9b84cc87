//! Processor time of the schema's work in an agent: loading a schema, reading a request, reading and
//! merging the shards' replies, writing the answer.
//!
//! Usage: `cargo run --release -p sablehaven-schema --example schema_bench [-- --rounds N]`.

use std::{
    collections::BTreeMap,
    fs,
    hint::black_box,
    path::PathBuf,
    time::{Duration, Instant},
};

use clap::{Arg, Command, value_parser};
use prost_reflect::DynamicMessage;
use sablehaven_schema::{
    DeploymentSchema, MethodSchema, decode_json, decode_protobuf, decode_reply, encode_json,
    encode_protobuf, merge,
};
use sablehaven_types::ShardId;
use serde_json::json;

/// Elements of each shard's reply, as many as a caller of the stock search gets by default.
const ITEMS: usize = 20;
/// Numbers of shards that one query asks.
const SHARD_COUNTS: [u32; 4] = [5, 15, 30, 55];

fn main() {
    let arguments = Command::new("schema_bench")
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("200")
                .help("Repetitions of each measurement"),
        )
        .get_matches();
    let rounds = *arguments.get_one("rounds").expect("it has a default");
    let text = schema_text();
    println!("{:<44} {:>10} {:>10}", "microseconds of", "median", "least");
    measure("load the schema of trinacria", rounds, || {
        parse(&text);
    });
    let schema = parse(&text);
    let search = schema
        .method(&"trinacria.OrderingPortal".into(), "SearchStock")
        .expect("the method exists");
    measure_requests(search, rounds);
    measure_replies(search, rounds);
}

fn schema_text() -> String {
    let path = "../../deployments/trinacria/schema.proto";
    fs::read_to_string(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(path))
        .expect("the schema is committed")
}

fn parse(text: &str) -> DeploymentSchema {
    DeploymentSchema::parse("schema.proto", text).expect("the schema is valid")
}

fn measure_requests(search: &MethodSchema, rounds: u32) {
    let json = br#"{"text":"pasta","category":"PRODUCT_CATEGORY_PASTA","minimumQuantityKg":10}"#;
    measure("read a request from JSON", rounds, || {
        black_box(decode_json(&search.input, json)).expect("it fits");
    });
    let request = decode_json(&search.input, json).expect("it fits");
    let bytes = encode_protobuf(&request);
    measure("read a request from protobuf", rounds, || {
        black_box(decode_protobuf(&search.input, &bytes)).expect("it fits");
    });
    measure("write a request as protobuf", rounds, || {
        black_box(encode_protobuf(&request));
    });
}

fn measure_replies(search: &MethodSchema, rounds: u32) {
    let request = DynamicMessage::new(search.input.clone());
    let bytes = reply_bytes(search);
    measure("read a reply of 20 elements", rounds, || {
        black_box(decode_reply(&search.output, &bytes)).expect("it fits");
    });
    for count in SHARD_COUNTS {
        measure(&format!("read and merge {count} replies"), rounds, || {
            black_box(read_and_merge(search, &request, &bytes, count));
        });
    }
    let answer = read_and_merge(search, &request, &bytes, 55);
    measure("write an answer of 20 elements as JSON", rounds, || {
        black_box(encode_json(&answer)).expect("it has a JSON form");
    });
}

fn reply_bytes(search: &MethodSchema) -> Vec<u8> {
    let matches: Vec<_> = (0..ITEMS)
        .map(|item| {
            json!({
                "depotId": format!("depot-{item}"),
                "product": "pasta di semola",
                "category": "PRODUCT_CATEGORY_PASTA",
                "quantityKg": item * 7 % 13,
                "useBy": "2027-03-01",
            })
        })
        .collect();
    let reply = json!({ "matches": matches, "depotsWithStock": "20", "totalQuantityKg": "120" });
    let message = decode_json(&search.output, reply.to_string().as_bytes()).expect("it fits");
    encode_protobuf(&message)
}

fn read_and_merge(
    search: &MethodSchema,
    request: &DynamicMessage,
    bytes: &[u8],
    shards: u32,
) -> DynamicMessage {
    let read = |shard| {
        let reply = decode_reply(&search.output, bytes).expect("it fits");
        (ShardId(shard), reply)
    };
    let replies: BTreeMap<_, _> = (0..shards).map(read).collect();
    merge(search, replies, request).expect("it merges")
}

/// Prints the median and the least time of one call, after as many calls to warm up.
fn measure(name: &str, rounds: u32, mut work: impl FnMut()) {
    (0..rounds).for_each(|_| work());
    let mut times: Vec<Duration> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            work();
            start.elapsed()
        })
        .collect();
    times.sort();
    let microseconds = |time: Duration| time.as_secs_f64() * 1e6;
    let median = microseconds(times[times.len() / 2]);
    let least = microseconds(times[0]);
    println!("{name:<44} {median:>10.1} {least:>10.1}");
}
