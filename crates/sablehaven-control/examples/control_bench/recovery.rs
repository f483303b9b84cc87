//! Time from the start of a process to its first lease, against log length and state size.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use crate::{client::Relay, cluster::Cluster};

/// Keys in the ledger before the restart.
const KEYS: [u64; 3] = [10_000, 100_000, 400_000];

/// Clients that fill the ledger.
const CLIENTS: usize = 512;

/// Restarts one replica with a full ledger, once from the log alone and once from snapshots.
pub async fn run(folder: &Path) {
    println!("\n# recovery of one replica (opening the data folder; until the first lease)");
    println!(
        "{:>10} {:>10} {:>10} {:>12} {:>10} {:>10}",
        "keys", "from", "entries", "folder MB", "open ms", "lease ms"
    );
    for keys in KEYS {
        for snapshots in [false, true] {
            measure(folder, keys, snapshots).await;
        }
    }
}

async fn measure(folder: &Path, keys: u64, snapshots: bool) {
    let name = format!("recovery-{keys}-{snapshots}");
    let mut cluster = Cluster::prepare(folder, &name, 1, false).await;
    let config = &mut cluster.replicas[0].config;
    config.snapshot_entries = if snapshots { 500 } else { u64::MAX };
    config.snapshot_bytes = if snapshots { 1 << 20 } else { u64::MAX };
    cluster.start().await;
    cluster.leader().await;
    let entries = fill(&cluster, keys).await;
    if snapshots {
        // What has become due is written within a few ticks.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let handle = cluster.replicas[0].handle.take().expect("running");
    handle.kill().await;
    let megabytes = folder_bytes(&cluster.replicas[0].config.data_folder) as f64 / 1e6;
    let started = Instant::now();
    cluster.replicas[0].start().await;
    let opened = started.elapsed().as_millis();
    cluster.leader().await;
    let leased = started.elapsed().as_millis();
    let from = if snapshots { "snapshot" } else { "log" };
    println!("{keys:>10} {from:>10} {entries:>10} {megabytes:>12.1} {opened:>10} {leased:>10}");
    cluster.stop().await;
}

/// Fills the ledger and returns the number of log entries.
async fn fill(cluster: &Cluster, keys: u64) -> u64 {
    let replica = &cluster.replicas[0];
    let before = replica.metric("entries_applied_total");
    let mut relay = Relay::connect(replica.internal()).await.expect("connect");
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
