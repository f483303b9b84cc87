//! Measures the processor time that a gateway's thread spends per sub-request of a query. The gateway runs on one
//! thread, the test doubles of servers and the caller on others. Prints microseconds per sub-request, user and system
//! time together, as accounted by the scheduler.
//!
//! `cargo run --release --example gather_cost -p sablehaven-gateway -- SHARDS QUERIES SERVERS`
//!
//! `SERVERS` is the number of servers per shard.

#[path = "../tests/gateway/support/mod.rs"]
#[allow(dead_code)]
mod support;

use std::{thread, time::Duration};

use sablehaven_standins::routed::Behaviour;
use support::routes::gather_route;
use support::{TestBed, run_test, send_request};
use tokio::runtime::{Builder, Handle};

/// Number of queries that are sent before the measured ones.
const WARM_UP_QUERIES: usize = 50;
/// Size of the reply of one shard.
const PART_BYTES: usize = 400;
/// Time that a server takes for the reply of one shard.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Processor time of this thread, in nanoseconds; 0 if the operating system does not report it.
fn thread_processor_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

fn argument(position: usize, default: usize) -> usize {
    std::env::args()
        .nth(position)
        .map_or(default, |text| text.parse().expect("a number"))
}

fn main() {
    let shards = argument(1, 36);
    let queries = argument(2, 500);
    let servers = argument(3, 1);
    let background_runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    let background = background_runtime.handle().clone();
    let measurement =
        thread::spawn(move || run_test(measure(background, shards, queries, servers)));
    measurement.join().expect("the measurement finishes");
}

async fn measure(background: Handle, shards: usize, queries: usize, servers: usize) {
    let mut bed = TestBed::new().await;
    let names: Vec<String> = (0..shards).map(|shard| format!("shard-{shard}")).collect();
    let behaviour = Behaviour::after(SERVICE_TIME, vec![7; PART_BYTES]);
    for name in &names {
        bed.add_servers_on(&background, name, &vec![behaviour.clone(); servers])
            .await;
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    bed.apply_routes(1, vec![gather_route("/q/", &names, 1.0)])
        .await;
    let address = bed.address;
    let send_queries = move |count: usize| async move {
        for query in 0..count {
            let id = format!("{query:016x}");
            send_request(address, Some(&id), "GET", "/q/a", &[], "").await;
        }
    };
    background
        .spawn(send_queries(WARM_UP_QUERIES))
        .await
        .expect("warm-up");
    let before_ns = thread_processor_ns();
    background
        .spawn(send_queries(queries))
        .await
        .expect("queries");
    let spent_ns = thread_processor_ns() - before_ns;
    let sub_requests = shards * queries;
    println!(
        "{shards} shards of {servers} servers, {queries} queries: {:.1} us per sub-request",
        spent_ns as f64 / 1_000.0 / sub_requests as f64
    );
}
