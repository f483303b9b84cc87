//! Measures the time an agent spends on schema operations: parsing a schema, decoding a request,
//! decoding and merging the shards' replies, and encoding the response.
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

/// Elements in each shard's reply; equals the default limit of the stock search.
const ITEMS_PER_REPLY: usize = 20;
/// Numbers of replies for which merging is measured, one reply per shard.
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
    let rounds = *arguments
        .get_one("rounds")
        .expect("--rounds has a default value");
    let text = read_schema();
    println!(
        "{:<44} {:>10} {:>10}",
        "microseconds of", "median", "minimum"
    );
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

fn read_schema() -> String {
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
        black_box(decode_json(&search.input, json)).expect("the body decodes");
    });
    let request = decode_json(&search.input, json).expect("the body decodes");
    let bytes = encode_protobuf(&request);
    measure("read a request from protobuf", rounds, || {
        black_box(decode_protobuf(&search.input, &bytes)).expect("the body decodes");
    });
    measure("write a request as protobuf", rounds, || {
        black_box(encode_protobuf(&request));
    });
}

fn measure_replies(search: &MethodSchema, rounds: u32) {
    let request = DynamicMessage::new(search.input.clone());
    let bytes = encoded_reply(search);
    measure("read a reply of 20 elements", rounds, || {
        black_box(decode_reply(&search.output, &bytes)).expect("the body decodes");
    });
    for count in SHARD_COUNTS {
        measure(&format!("read and merge {count} replies"), rounds, || {
            black_box(decode_and_merge(search, &request, &bytes, count));
        });
    }
    let merged = decode_and_merge(search, &request, &bytes, 55);
    measure("write an answer of 20 elements as JSON", rounds, || {
        black_box(encode_json(&merged)).expect("the message has a JSON form");
    });
}

fn encoded_reply(search: &MethodSchema) -> Vec<u8> {
    let matches: Vec<_> = (0..ITEMS_PER_REPLY)
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
    let message =
        decode_json(&search.output, reply.to_string().as_bytes()).expect("the body decodes");
    encode_protobuf(&message)
}

fn decode_and_merge(
    search: &MethodSchema,
    request: &DynamicMessage,
    bytes: &[u8],
    shards: u32,
) -> DynamicMessage {
    let decode = |shard| {
        let reply = decode_reply(&search.output, bytes).expect("the body decodes");
        (ShardId(shard), reply)
    };
    let replies: BTreeMap<_, _> = (0..shards).map(decode).collect();
    merge(search, replies, request).expect("the replies merge")
}

/// Calls `operation` `rounds` times to warm up and `rounds` times timed, then prints the median and
/// minimum time of a call.
fn measure(name: &str, rounds: u32, mut operation: impl FnMut()) {
    (0..rounds).for_each(|_| operation());
    let mut durations: Vec<Duration> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            operation();
            start.elapsed()
        })
        .collect();
    durations.sort();
    let microseconds = |duration: Duration| duration.as_secs_f64() * 1e6;
    let median = microseconds(durations[durations.len() / 2]);
    let minimum = microseconds(durations[0]);
    println!("{name:<44} {median:>10.1} {minimum:>10.1}");
}
