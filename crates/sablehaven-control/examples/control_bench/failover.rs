//! Failover time: from the loss of a leader to the first lease and claim that the next one grants.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use crate::cluster::Cluster;

/// Kills the leader, which closes its connections.
pub async fn measure_kills(folder: &Path, rounds: usize) {
    let mut cluster = Cluster::prepare(folder, "kill", 3, false).await;
    cluster.start().await;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.stable_leader().await;
        let handle = cluster.replicas[leader].handle.take().expect("running");
        let started = Instant::now();
        let killing = tokio::spawn(handle.kill());
        times.push(cluster.wait_for_next_leader(leader, started).await);
        killing.await.expect("kill");
        cluster.replicas[leader].start().await;
    }
    print_times("leader killed", &mut times);
    cluster.stop().await;
}

/// Blocks all traffic between the leader and the other replicas while connections stay open.
pub async fn measure_silent_partitions(folder: &Path, rounds: usize) {
    let mut cluster = Cluster::prepare(folder, "cut", 3, true).await;
    cluster.start().await;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.stable_leader().await;
        let started = Instant::now();
        for (from, to, forwarder) in &cluster.forwarders {
            if *from == leader || *to == leader {
                forwarder.block();
            }
        }
        times.push(cluster.wait_for_next_leader(leader, started).await);
        for (_, _, forwarder) in &cluster.forwarders {
            forwarder.unblock();
        }
    }
    print_times("leader silently cut off", &mut times);
    cluster.stop().await;
}

/// Stops the leader as planned, so that it transfers its leadership.
pub async fn measure_planned_stops(folder: &Path, rounds: usize) {
    let mut cluster = Cluster::prepare(folder, "stop", 3, false).await;
    cluster.start().await;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.stable_leader().await;
        let handle = cluster.replicas[leader].handle.take().expect("running");
        let started = Instant::now();
        let stopping = tokio::spawn(handle.stop());
        times.push(cluster.wait_for_next_leader(leader, started).await);
        stopping.await.expect("stop");
        cluster.replicas[leader].start().await;
    }
    print_times("leader stopped as planned", &mut times);
    cluster.stop().await;
}

fn print_times(failure: &str, times: &mut [Duration]) {
    times.sort();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100].as_millis();
    println!(
        "\n# time until the next leader grants a lease and a claim: {failure}\n\
         rounds {}  least {} ms  median {} ms  p90 {} ms  most {} ms",
        times.len(),
        percentile(0),
        percentile(50),
        percentile(90),
        percentile(100)
    );
}
