//! Tests of the order in which replicas are asked, and of the time to wait for a reply.

use super::*;

const NEAR: Distance = Distance::Zone;
const REMOTE: Distance = Distance::Remote;
const NOW: Duration = Duration::from_secs(100);

fn replica(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn order(replicas: &TokenReplicas, now: Duration) -> Vec<SocketAddr> {
    let connected = [
        (replica(1), NEAR),
        (replica(2), Distance::Region),
        (replica(3), REMOTE),
    ];
    let ordered = replicas.ordered(now, &connected);
    ordered.into_iter().map(|(replica, _)| replica).collect()
}

#[test]
fn the_nearest_replica_is_asked_first() {
    let replicas = TokenReplicas::default();
    assert_eq!(order(&replicas, NOW), [replica(1), replica(2), replica(3)]);
}

#[test]
fn a_replica_that_timed_out_is_asked_last_until_it_replies() {
    let mut replicas = TokenReplicas::default();
    replicas.record_timeout(replica(1));
    assert_eq!(order(&replicas, NOW), [replica(2), replica(3), replica(1)]);
    replicas.record_reply(replica(1), Duration::from_millis(40));
    assert_eq!(order(&replicas, NOW)[0], replica(1));
}

#[test]
fn a_replica_that_timed_out_is_asked_first_again_after_a_reconnection() {
    let mut replicas = TokenReplicas::default();
    replicas.record_timeout(replica(1));
    replicas.remove(replica(1));
    assert_eq!(order(&replicas, NOW)[0], replica(1));
}

#[test]
fn a_replica_without_a_part_is_asked_last_until_the_retry_delay_ends() {
    let mut replicas = TokenReplicas::default();
    replicas.record_no_part(NOW, replica(1));
    assert_eq!(order(&replicas, NOW)[0], replica(2));
    assert_eq!(order(&replicas, NOW + NO_PART_RETRY_DELAY)[0], replica(1));
}

#[test]
fn a_remote_replica_is_waited_for_longer() {
    let replicas = TokenReplicas::default();
    let near_wait = replicas.max_wait(replica(1), NEAR);
    assert!(near_wait < replicas.max_wait(replica(3), REMOTE));
}

#[test]
fn the_wait_follows_the_reply_times() {
    let mut replicas = TokenReplicas::default();
    let slow_reply = Duration::from_millis(30);
    for _ in 0..50 {
        replicas.record_reply(replica(1), slow_reply);
    }
    let max_wait = replicas.max_wait(replica(1), NEAR);
    assert!(max_wait >= slow_reply, "{max_wait:?}");
    for _ in 0..50 {
        replicas.record_reply(replica(1), Duration::from_millis(1));
    }
    let max_wait = replicas.max_wait(replica(1), NEAR);
    assert!(max_wait < slow_reply, "{max_wait:?}");
    assert!(max_wait >= min_wait(NEAR), "{max_wait:?}");
}
