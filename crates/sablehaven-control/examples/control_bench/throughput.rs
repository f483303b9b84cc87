//! Claims and commits per second, compared with the throughput of the disk itself.

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
    client::{ClientResults, Relay},
    cluster::Cluster,
    raw_disk,
};

/// Numbers of concurrent clients.
const CLIENT_COUNTS: [usize; 4] = [1, 8, 64, 512];

/// Number of connections over which the clients are distributed, as over relays.
const RELAYS: usize = 4;

/// Duration of each measurement of the disk itself.
const DISK_MEASUREMENT_DURATION: Duration = Duration::from_secs(1);

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

/// Measures claims per second through relays' connections, with 3 replicas.
pub async fn measure_claims(folder: &Path, duration: Duration) {
    println!("\n# claims (3 replicas, 4 ledger groups, {duration:?} each)");
    println!(
        "# raw, growing: synced appends per second of one writer, into preallocated space and extending the file"
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
    for clients in CLIENT_COUNTS {
        let mut cluster = Cluster::prepare(folder, &format!("claims-{clients}"), 3, false).await;
        cluster.start().await;
        let leader = cluster.stable_leader().await;
        let disk_before = raw_disk::measure(folder, DISK_MEASUREMENT_DURATION);
        let before = counters(&cluster, leader);
        let started = Instant::now();
        let results = run_claims(
            cluster.replicas[leader].internal_address(),
            clients,
            duration,
        )
        .await;
        let seconds = started.elapsed().as_secs_f64();
        let after = counters(&cluster, leader);
        let disk_after = raw_disk::measure(folder, DISK_MEASUREMENT_DURATION);
        let raw = f64::midpoint(disk_before.preallocated, disk_after.preallocated);
        let growing = f64::midpoint(disk_before.growing, disk_after.growing);
        let granted = results.granted as f64;
        let per_second = granted / seconds;
        let [entries, syncs, bytes] =
            [0, 1, 2].map(|counter| (after[counter] - before[counter]) as f64);
        println!(
            "{clients:>8} {per_second:>9.0} {:>8.2} {:>8.2} {:>10.0} {:>10.0} {:>9.3} {:>9.0} {raw:>8.0} {growing:>8.0} {:>7.2}",
            quantile_ms(&results.latency_us, 0.5),
            quantile_ms(&results.latency_us, 0.99),
            entries / seconds,
            syncs / seconds,
            syncs / granted,
            bytes / granted,
            per_second / raw,
        );
        cluster.stop().await;
    }
}

/// Log entries applied, syncs of the log and bytes written to it.
fn counters(cluster: &Cluster, leader: usize) -> [u64; 3] {
    let replica = &cluster.replicas[leader];
    ["entries_applied_total", "log_syncs", "log_bytes"].map(|name| replica.metric(name))
}

fn quantile_ms(latency_us: &Histogram<u64>, quantile: f64) -> f64 {
    latency_us.value_at_quantile(quantile) as f64 / 1_000.0
}

async fn run_claims(address: SocketAddr, clients: usize, duration: Duration) -> ClientResults {
    let end = Instant::now() + duration;
    let relays = clients.min(RELAYS);
    let tasks = (0..relays).map(|number| {
        let relay_clients = clients / relays + usize::from(number < clients % relays);
        tokio::spawn(async move {
            let mut relay = Relay::connect(address).await.expect("connect");
            relay.claim_until(relay_clients, end).await
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut total = ClientResults {
        granted: 0,
        latency_us: Histogram::new(3).expect("a histogram"),
    };
    for task in tasks {
        let results = task.await.expect("clients");
        total.granted += results.granted;
        total.latency_us += results.latency_us;
    }
    total
}

/// Measures the commands committed per second through the operator interface. Accepted and conflicting
/// commands both count, since both are log entries.
pub async fn measure_commits(folder: &Path, duration: Duration) {
    println!("\n# commits through the operator interface (3 replicas, {duration:?} each)");
    println!(
        "# validation of the configuration alone: {:.2} ms",
        mean_validation_ms()
    );
    println!(
        "{:>8} {:>10} {:>10} {:>9} {:>9} {:>9}",
        "clients", "commits/s", "accepted/s", "p50 ms", "p99 ms", "syncs/commit"
    );
    for clients in CLIENT_COUNTS {
        let mut cluster = Cluster::prepare(folder, &format!("commits-{clients}"), 3, false).await;
        cluster.start().await;
        let leader = cluster.stable_leader().await;
        let address = cluster.replicas[leader].config.http_listen;
        let before = counters(&cluster, leader);
        let started = Instant::now();
        let (committed, accepted, latency_us) = run_commits(address, clients, duration).await;
        let seconds = started.elapsed().as_secs_f64();
        let after = counters(&cluster, leader);
        let syncs = (after[1] - before[1]) as f64;
        println!(
            "{clients:>8} {:>10.0} {:>10.0} {:>9.2} {:>9.2} {:>9.3}",
            committed as f64 / seconds,
            accepted as f64 / seconds,
            quantile_ms(&latency_us, 0.5),
            quantile_ms(&latency_us, 0.99),
            syncs / committed as f64,
        );
        cluster.stop().await;
    }
}

async fn run_commits(
    address: SocketAddr,
    clients: usize,
    duration: Duration,
) -> (u64, u64, Histogram<u64>) {
    let end = Instant::now() + duration;
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("client");
    let tasks = (0..clients).map(|number| {
        let client = client.clone();
        tokio::spawn(async move { run_operator(&client, address, number, end).await })
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

async fn run_operator(
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
            .expect("response");
        let outcome: ApplyOutcome = response.json().await.expect("an outcome");
        let sample_us = started.elapsed().as_micros() as u64;
        latency_us.record(sample_us).expect("a latency");
        committed += 1;
        match outcome {
            ApplyOutcome::Accepted {
                version: new_version,
            } => {
                accepted += 1;
                version = new_version;
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

/// Mean time, in milliseconds, of the validation that the leader performs before each proposal.
fn mean_validation_ms() -> f64 {
    const REPETITIONS: u32 = 200;
    let configuration = configuration();
    let started = Instant::now();
    for _ in 0..REPETITIONS {
        assert!(sablehaven_schema::check_document(&configuration).is_empty());
    }
    started.elapsed().as_secs_f64() * 1_000.0 / f64::from(REPETITIONS)
}
