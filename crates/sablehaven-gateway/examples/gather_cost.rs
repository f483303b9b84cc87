//! Processor time of a gateway's thread for each sub-request of a query: a gateway on one thread,
//! stand-in servers and the caller on others. Prints microseconds a sub-request, user and system
//! together, as the scheduler accounts them.
//!
//! `cargo run --release --example gather_cost -p sablehaven-gateway -- SHARDS QUERIES SERVERS`, the last of each shard

#[path = "../tests/gateway/support/mod.rs"]
#[allow(dead_code)]
mod support;

use std::{thread, time::Duration};

use sablehaven_standins::routed::Behaviour;
use support::routes::gather;
use support::{Bed, call, run};
use tokio::runtime::{Builder, Handle};

/// Queries before the first that is counted.
const WARM_UP: usize = 50;
/// Bytes of a part.
const PART_BYTES: usize = 400;
/// What a server works for each part.
const WORK: Duration = Duration::from_millis(2);

/// Time that this thread has spent on a processor, in nanoseconds; 0 where the system does not say.
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
    let others = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    let elsewhere = others.handle().clone();
    let measured = thread::spawn(move || run(measure(elsewhere, shards, queries, servers)));
    measured.join().expect("the measurement ends");
}

async fn measure(elsewhere: Handle, shards: usize, queries: usize, servers: usize) {
    let mut bed = Bed::new().await;
    let names: Vec<String> = (0..shards).map(|shard| format!("shard-{shard}")).collect();
    let answers = Behaviour::after(WORK, vec![7; PART_BYTES]);
    for name in &names {
        bed.serve_on(&elsewhere, name, &vec![answers.clone(); servers])
            .await;
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    bed.route(1, vec![gather("/q/", &names, 1.0)]).await;
    let address = bed.address;
    let ask = move |count: usize| async move {
        for query in 0..count {
            let id = format!("{query:016x}");
            call(address, Some(&id), "GET", "/q/a", &[], "").await;
        }
    };
    elsewhere.spawn(ask(WARM_UP)).await.expect("warm-up");
    let before = thread_processor_ns();
    elsewhere.spawn(ask(queries)).await.expect("queries");
    let spent = thread_processor_ns() - before;
    let sub_requests = shards * queries;
    println!(
        "{shards} shards of {servers} servers, {queries} queries: {:.1} us a sub-request",
        spent as f64 / 1_000.0 / sub_requests as f64
    );
}
