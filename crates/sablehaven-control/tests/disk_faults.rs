//! Full disks, and simultaneous crashes of all machines that lose unsynced writes.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use sablehaven_control::operator::paths;
use sablehaven_faults::disk::{FaultyDisk, UnsyncedLoss};
use sablehaven_types::{ApplyOutcome, Configuration};
use support::{Cluster, command, operator::Operator, slow_disk::SlowDisk};

/// Starts a cluster on in-memory disks with fault injection.
async fn start_cluster_on_faulty_disks() -> (Cluster, Vec<FaultyDisk>) {
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

async fn apply_commands(operator: &Operator, from: u64, count: u64) {
    for version in from..from + count {
        let outcome = operator
            .apply(&command(&format!("c{version}"), version))
            .await;
        let version = version + 1;
        assert_eq!(outcome, ApplyOutcome::Accepted { version });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_with_a_full_disk_fails_with_the_storage_error() {
    let (mut cluster, disks) = start_cluster_on_faulty_disks().await;
    let operator = cluster.operator();
    apply_commands(&operator, 0, 3).await;
    let leader = cluster.leader().await;
    disks[leader].set_free_bytes(Some(0));
    let mut handle = cluster.machines[leader].handle.take().expect("running");
    let applying = tokio::spawn(async move {
        apply_commands(&operator, 3, 40).await;
    });
    let failure = tokio::time::timeout(support::WAIT_TIMEOUT, handle.failed()).await;
    let failure = failure.expect("a failure");
    assert!(
        failure.contains("store") && failure.contains("segment"),
        "{failure}"
    );
    // The other replicas take over; commands accepted before and in flight at the failure are all there.
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
async fn a_power_failure_of_all_machines_loses_no_accepted_command() {
    let (mut cluster, disks) = start_cluster_on_faulty_disks().await;
    repeat_power_failures(&mut cluster, &disks, UnsyncedLoss::All).await;
    repeat_power_failures(&mut cluster, &disks, UnsyncedLoss::Random).await;
}

async fn repeat_power_failures(cluster: &mut Cluster, disks: &[FaultyDisk], loss: UnsyncedLoss) {
    let configuration: Configuration = cluster.operator().get(paths::CONFIGURATION).await;
    let mut version = configuration.version;
    for round in 0..4_u64 {
        let operator = cluster.operator();
        apply_commands(&operator, version, 10).await;
        version += 10;
        // Crashes one machine while commands are in flight, after a different number of disk
        // operations in each round.
        let crashing_disk = &disks[round as usize % 3];
        crashing_disk.crash_at(crashing_disk.counts().all + 3 * round + 1);
        let accepted = Arc::new(AtomicU64::new(version));
        let applying = tokio::spawn(apply_until_aborted(operator, Arc::clone(&accepted)));
        let crashing = &mut cluster.machines[round as usize % 3];
        let handle = crashing.handle.as_mut().expect("running");
        let failed = tokio::time::timeout(support::WAIT_TIMEOUT, handle.failed()).await;
        failed.expect("a failure in time");
        for disk in disks {
            disk.restart(loss);
        }
        applying.abort();
        // The task was aborted or panicked for lack of a leader; only its count of accepted versions
        // matters.
        let _ = applying.await;
        for machine in &mut cluster.machines {
            machine.kill().await;
        }
        // Anything that the old processes wrote after the failure was discarded.
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

/// Applies commands one after the other and records the last accepted version.
async fn apply_until_aborted(operator: Operator, accepted: Arc<AtomicU64>) {
    loop {
        let version = accepted.load(Ordering::SeqCst);
        apply_commands(&operator, version, 1).await;
        accepted.store(version + 1, Ordering::SeqCst);
    }
}
