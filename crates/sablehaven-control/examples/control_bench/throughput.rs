//! Claims and commits a second against the disk's raw limit.

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use sablehaven_control::operator::paths;
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, Configuration, ConfigurationChange, SchemaSource,
};

use crate::{
    client::{ClientReport, Relay},
    cluster::Cluster,
    raw_disk,
};

const CLIENTS: [usize; 4] = [1, 8, 64, 512];

/// Connections that the clients are spread over, as over relays.
const RELAYS: usize = 4;

/// Time for each measurement of the raw limit.
const RAW_LENGTH: Duration = Duration::from_secs(1);

const SCHEMA: &str = r#"
syntax = "proto3";
package bench;
import "sablehaven/options.proto";
option (sablehaven.deployment) = { regions: { name: "r" zones: ["r-a"] } };
service Empty {
  option (sablehaven.service) = { maximum_shards: 1 minimum_replicas: 1 };
  rpc Get(GetRequest) returns (GetReply) {
    option (sablehaven.method) = { deadline_ms: 300 lookup: { key: "key" } };
  }
}
message GetRequest { string key = 1; }
message GetReply { string key = 1; }
"#;

/// Claims a second through relays' connections, 3 replicas.
pub async fn claims(folder: &Path, length: Duration) {
    println!("\n# claims (3 replicas, 4 ledger groups, {length:?} each)");
    println!(
        "# raw: appends and syncs a second of one writer, into space written in advance, and growing the file"
    );
    println!(
        "{:>8} {:>9} {:>8} {:>8} {:>10} {:>10} {:>9} {:>9} {:>8} {:>8} {:>7}",
        "clients",
        "claims/s",
        "p50 ms",
        "p99 ms",
        "entries/s",
        "syncs/s",
        "syncs/cl",
        "bytes/cl",
        "raw",
        "growing",
        "ratio"
    );
    for clients in CLIENTS {
        let mut cluster = Cluster::prepare(folder, &format!("claims-{clients}"), 3, false).await;
        cluster.start().await;
        let leader = cluster.settled_leader().await;
        let raw_before = raw_disk::measure(folder, RAW_LENGTH);
        let before = counters(&cluster, leader);
        let started = Instant::now();
        let report = claim_load(cluster.replicas[leader].internal(), clients, length).await;
        let seconds = started.elapsed().as_secs_f64();
        let after = counters(&cluster, leader);
        let raw_after = raw_disk::measure(folder, RAW_LENGTH);
        let raw = f64::midpoint(raw_before.in_advance, raw_after.in_advance);
        let growing = f64::midpoint(raw_before.growing, raw_after.growing);
        let granted = report.granted as f64;
        let per_second = granted / seconds;
        let [entries, syncs, bytes] = [0, 1, 2].map(|each| (after[each] - before[each]) as f64);
        println!(
            "{clients:>8} {per_second:>9.0} {:>8.2} {:>8.2} {:>10.0} {:>10.0} {:>9.3} {:>9.0} {raw:>8.0} {growing:>8.0} {:>7.2}",
            milliseconds(&report.latency_us, 0.5),
            milliseconds(&report.latency_us, 0.99),
            entries / seconds,
            syncs / seconds,
            syncs / granted,
            bytes / granted,
            per_second / raw,
        );
        cluster.stop().await;
    }
}

fn counters(cluster: &Cluster, leader: usize) -> [u64; 3] {
    let replica = &cluster.replicas[leader];
    ["entries_applied_total", "log_syncs", "log_bytes"].map(|name| replica.metric(name))
}

fn milliseconds(latency_us: &Histogram<u64>, quantile: f64) -> f64 {
    latency_us.value_at_quantile(quantile) as f64 / 1_000.0
}

async fn claim_load(address: SocketAddr, clients: usize, length: Duration) -> ClientReport {
    let end = Instant::now() + length;
    let relays = clients.min(RELAYS);
    let tasks = (0..relays).map(|number| {
        let share = clients / relays + usize::from(number < clients % relays);
        tokio::spawn(async move {
            let mut relay = Relay::connect(address).await.expect("connect");
            relay.claim_until(share, end).await
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut total = ClientReport {
        granted: 0,
        latency_us: Histogram::new(3).expect("a histogram"),
    };
    for task in tasks {
        let report = task.await.expect("clients");
        total.granted += report.granted;
        total.latency_us += report.latency_us;
    }
    total
}

/// Commands committed a second through the operators' interface, accepted and conflicting alike:
/// both are entries of the log.
pub async fn commits(folder: &Path, length: Duration) {
    println!("\n# commits through the operators' interface (3 replicas, {length:?} each)");
    println!(
        "# check of the configuration alone: {:.2} ms",
        check_milliseconds()
    );
    println!(
        "{:>8} {:>10} {:>10} {:>9} {:>9} {:>9}",
        "clients", "commits/s", "accepted/s", "p50 ms", "p99 ms", "syncs/commit"
    );
    for clients in CLIENTS {
        let mut cluster = Cluster::prepare(folder, &format!("commits-{clients}"), 3, false).await;
        cluster.start().await;
        let leader = cluster.settled_leader().await;
        let address = cluster.replicas[leader].config.http_listen;
        let before = counters(&cluster, leader);
        let started = Instant::now();
        let (committed, accepted, latency_us) = commit_load(address, clients, length).await;
        let seconds = started.elapsed().as_secs_f64();
        let after = counters(&cluster, leader);
        let syncs = (after[1] - before[1]) as f64;
        println!(
            "{clients:>8} {:>10.0} {:>10.0} {:>9.2} {:>9.2} {:>9.3}",
            committed as f64 / seconds,
            accepted as f64 / seconds,
            milliseconds(&latency_us, 0.5),
            milliseconds(&latency_us, 0.99),
            syncs / committed as f64,
        );
        cluster.stop().await;
    }
}

async fn commit_load(
    address: SocketAddr,
    clients: usize,
    length: Duration,
) -> (u64, u64, Histogram<u64>) {
    let end = Instant::now() + length;
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("client");
    let tasks = (0..clients).map(|number| {
        let client = client.clone();
        tokio::spawn(async move { operate(&client, address, number, end).await })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut total = (0, 0, Histogram::new(3).expect("a histogram"));
    for task in tasks {
        let (committed, accepted, latency_us) = task.await.expect("operator");
        total.0 += committed;
        total.1 += accepted;
        total.2 += latency_us;
    }
    total
}

async fn operate(
    client: &reqwest::Client,
    address: SocketAddr,
    number: usize,
    end: Instant,
) -> (u64, u64, Histogram<u64>) {
    let url = format!("http://{address}{}", paths::APPLY);
    let mut latency_us = Histogram::new(3).expect("a histogram");
    let (mut committed, mut accepted, mut version) = (0, 0, 0);
    while Instant::now() < end {
        let command = ApplyCommand {
            command_id: format!("{number}-{committed}").into(),
            operator: "bench".into(),
            reason: String::new(),
            expected_version: version,
            change: ConfigurationChange::ReplaceAll {
                configuration: configuration(),
            },
        };
        let started = Instant::now();
        let response = client
            .post(&url)
            .json(&command)
            .send()
            .await
            .expect("answer");
        let outcome: ApplyOutcome = response.json().await.expect("an outcome");
        let latency = started.elapsed().as_micros() as u64;
        latency_us.record(latency).expect("a latency");
        committed += 1;
        match outcome {
            ApplyOutcome::Accepted { version: made } => {
                accepted += 1;
                version = made;
            }
            ApplyOutcome::Conflict {
                current_version, ..
            } => version = current_version,
            ApplyOutcome::Invalid { reasons } => panic!("{reasons:?}"),
        }
    }
    (committed, accepted, latency_us)
}

fn configuration() -> Configuration {
    Configuration {
        schema: SchemaSource {
            file_name: "schema.proto".to_owned(),
            text: SCHEMA.to_owned(),
        },
        ..Configuration::default()
    }
}

/// Mean time of the check that the leader makes before each proposal.
fn check_milliseconds() -> f64 {
    const CHECKS: u32 = 200;
    let configuration = configuration();
    let started = Instant::now();
    for _ in 0..CHECKS {
        assert!(sablehaven_schema::check_document(&configuration).is_empty());
    }
    started.elapsed().as_secs_f64() * 1_000.0 / f64::from(CHECKS)
}
