//! Time from the start of a replica to its first lease, by log length and state size.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use crate::{client::Relay, cluster::Cluster};

/// Numbers of keys in the ledger before the restart.
const KEY_COUNTS: [u64; 3] = [10_000, 100_000, 400_000];

/// Number of clients that fill the ledger.
const CLIENTS: usize = 512;

/// Restarts one replica with a full ledger, once from the log alone and once with snapshots.
pub async fn measure_all(folder: &Path) {
    println!("\n# recovery of one replica (opening the data folder; until the first lease)");
    println!(
        "{:>10} {:>10} {:>10} {:>12} {:>10} {:>10}",
        "keys", "from", "entries", "folder MB", "open ms", "lease ms"
    );
    for keys in KEY_COUNTS {
        for with_snapshots in [false, true] {
            measure(folder, keys, with_snapshots).await;
        }
    }
}

async fn measure(folder: &Path, keys: u64, with_snapshots: bool) {
    let name = format!("recovery-{keys}-{with_snapshots}");
    let mut cluster = Cluster::prepare(folder, &name, 1, false).await;
    let config = &mut cluster.replicas[0].config;
    config.snapshot_entries = if with_snapshots { 500 } else { u64::MAX };
    config.snapshot_bytes = if with_snapshots { 1 << 20 } else { u64::MAX };
    cluster.start().await;
    cluster.leader().await;
    let entries = fill(&cluster, keys).await;
    if with_snapshots {
        // A snapshot that is due is written within a few ticks.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let handle = cluster.replicas[0].handle.take().expect("running");
    handle.kill().await;
    let megabytes = folder_bytes(&cluster.replicas[0].config.data_folder) as f64 / 1e6;
    let started = Instant::now();
    cluster.replicas[0].start().await;
    let open_ms = started.elapsed().as_millis();
    cluster.leader().await;
    let lease_ms = started.elapsed().as_millis();
    let from = if with_snapshots { "snapshot" } else { "log" };
    println!("{keys:>10} {from:>10} {entries:>10} {megabytes:>12.1} {open_ms:>10} {lease_ms:>10}");
    cluster.stop().await;
}

/// Claims at least `keys` keys in the ledger and returns the number of log entries that this took.
async fn fill(cluster: &Cluster, keys: u64) -> u64 {
    let replica = &cluster.replicas[0];
    let before = replica.metric("entries_applied_total");
    let mut relay = Relay::connect(replica.internal_address())
        .await
        .expect("connect");
    let mut granted = 0;
    while granted < keys {
        let end = Instant::now() + Duration::from_millis(200);
        granted += relay.claim_until(CLIENTS, end).await.granted;
    }
    replica.metric("entries_applied_total") - before
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("read folder");
    entries
        .filter_map(|entry| entry.ok()?.metadata().ok())
        .map(|metadata| metadata.len())
        .sum()
}
