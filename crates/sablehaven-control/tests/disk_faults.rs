//! Full disks, and crashes of all machines at once that lose what was not synced.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use sablehaven_control::operator::paths;
use sablehaven_faults::disk::{FaultyDisk, UnsyncedLoss};
use sablehaven_types::{ApplyOutcome, Configuration};
use support::{Cluster, command, operator::Operator, slow_disk::SlowDisk};

/// A cluster on disks in memory whose faults can be planned.
async fn cluster_on_faulty_disks() -> (Cluster, Vec<FaultyDisk>) {
    let mut cluster = Cluster::prepare(3).await;
    let mut disks = Vec::new();
    for (number, machine) in cluster.machines.iter_mut().enumerate() {
        let disk = FaultyDisk::new(number as u64);
        machine.disk = Arc::new(SlowDisk(disk.clone()));
        machine.config.snapshot_entries = 20;
        machine.config.segment_bytes = 16 * 1024;
        disks.push(disk);
    }
    cluster.start_all().await;
    cluster.leader().await;
    (cluster, disks)
}

async fn apply_some(operator: &Operator, from: u64, count: u64) {
    for version in from..from + count {
        let outcome = operator
            .apply(&command(&format!("c{version}"), version))
            .await;
        let version = version + 1;
        assert_eq!(outcome, ApplyOutcome::Accepted { version });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_whose_disk_is_full_stops_and_says_so() {
    let (mut cluster, disks) = cluster_on_faulty_disks().await;
    let operator = cluster.operator();
    apply_some(&operator, 0, 3).await;
    let leader = cluster.leader().await;
    disks[leader].set_free_bytes(Some(0));
    let mut handle = cluster.machines[leader].handle.take().expect("running");
    let applying = tokio::spawn(async move {
        apply_some(&operator, 3, 40).await;
    });
    let failure = tokio::time::timeout(support::LIMIT, handle.failed()).await;
    let failure = failure.expect("a failure");
    assert!(
        failure.contains("store") && failure.contains("segment"),
        "{failure}"
    );
    // The others take over; what was accepted and what was in flight is there.
    applying.await.expect("commands");
    assert_ne!(cluster.leader().await, leader);
    handle.kill().await;
    disks[leader].set_free_bytes(None);
    disks[leader].kill_process();
    cluster.machines[leader].start().await;
    let configuration: Configuration = cluster.operator().get(paths::CONFIGURATION).await;
    assert_eq!(configuration.version, 43);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_power_failure_of_all_machines_loses_nothing_accepted() {
    let (mut cluster, disks) = cluster_on_faulty_disks().await;
    fail_power_again_and_again(&mut cluster, &disks, UnsyncedLoss::All).await;
    fail_power_again_and_again(&mut cluster, &disks, UnsyncedLoss::Random).await;
}

async fn fail_power_again_and_again(
    cluster: &mut Cluster,
    disks: &[FaultyDisk],
    loss: UnsyncedLoss,
) {
    let configuration: Configuration = cluster.operator().get(paths::CONFIGURATION).await;
    let mut version = configuration.version;
    for round in 0..4_u64 {
        let operator = cluster.operator();
        apply_some(&operator, version, 10).await;
        version += 10;
        // In the middle of further commands, at another point of one machine's work each time.
        let first = &disks[round as usize % 3];
        first.crash_at(first.counts().all + 3 * round + 1);
        let accepted = Arc::new(AtomicU64::new(version));
        let unfinished = tokio::spawn(apply_on(operator, Arc::clone(&accepted)));
        let crashing = &mut cluster.machines[round as usize % 3];
        let handle = crashing.handle.as_mut().expect("running");
        let failed = tokio::time::timeout(support::LIMIT, handle.failed()).await;
        failed.expect("a failure in time");
        for disk in disks {
            disk.restart(loss);
        }
        unfinished.abort();
        // Whether it was ended or had panicked without a leader: what it counted is what matters.
        let _ = unfinished.await;
        for machine in &mut cluster.machines {
            machine.kill().await;
        }
        // What the old processes still wrote after the failure went nowhere.
        cluster.start_all().await;
        let configuration: Configuration = cluster.operator().get(paths::CONFIGURATION).await;
        let accepted = accepted.load(Ordering::SeqCst);
        let found = configuration.version;
        assert!(
            found >= accepted,
            "version {found}, accepted up to {accepted}"
        );
        version = configuration.version;
    }
}

/// Applies commands one after the other and counts up to which version they were accepted.
async fn apply_on(operator: Operator, accepted: Arc<AtomicU64>) {
    loop {
        let version = accepted.load(Ordering::SeqCst);
        apply_some(&operator, version, 1).await;
        accepted.store(version + 1, Ordering::SeqCst);
    }
}
