//! Time without a leader: from the loss of one to the first lease and claim of the next.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use crate::cluster::Cluster;

/// The leader's process ends; its connections close.
pub async fn kills(folder: &Path, rounds: usize) {
    let mut cluster = Cluster::prepare(folder, "kill", 3, false).await;
    cluster.start().await;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.settled_leader().await;
        let handle = cluster.replicas[leader].handle.take().expect("running");
        let started = Instant::now();
        let killing = tokio::spawn(handle.kill());
        times.push(cluster.time_without_leader(leader, started).await);
        killing.await.expect("kill");
        cluster.replicas[leader].start().await;
    }
    print("leader killed", &mut times);
    cluster.stop().await;
}

/// Nothing passes between the leader and the others any more; connections stay open.
pub async fn silent_partitions(folder: &Path, rounds: usize) {
    let mut cluster = Cluster::prepare(folder, "cut", 3, true).await;
    cluster.start().await;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.settled_leader().await;
        let started = Instant::now();
        for (from, to, forwarder) in &cluster.forwarders {
            if *from == leader || *to == leader {
                forwarder.block();
            }
        }
        times.push(cluster.time_without_leader(leader, started).await);
        for (_, _, forwarder) in &cluster.forwarders {
            forwarder.unblock();
        }
    }
    print("leader silently cut off", &mut times);
    cluster.stop().await;
}

/// The leader stops as planned and hands its leadership over.
pub async fn planned_stops(folder: &Path, rounds: usize) {
    let mut cluster = Cluster::prepare(folder, "stop", 3, false).await;
    cluster.start().await;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.settled_leader().await;
        let handle = cluster.replicas[leader].handle.take().expect("running");
        let started = Instant::now();
        let stopping = tokio::spawn(handle.stop());
        times.push(cluster.time_without_leader(leader, started).await);
        stopping.await.expect("stop");
        cluster.replicas[leader].start().await;
    }
    print("leader stopped as planned", &mut times);
    cluster.stop().await;
}

fn print(what: &str, times: &mut [Duration]) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_millis();
    println!(
        "\n# time until the next leader gives a lease and grants a claim: {what}\n\
         rounds {}  least {} ms  median {} ms  p90 {} ms  most {} ms",
        times.len(),
        at(0),
        at(50),
        at(90),
        at(100)
    );
}
