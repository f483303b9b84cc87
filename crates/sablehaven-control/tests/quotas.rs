//! Tenants' quotas: what replicas grant to gateways.

mod support;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use sablehaven_types::{
    AllowedRegions, CallerLimits, KeyDigest, QuotaTolerance, RequestQuota, RouteDocument, Tenant,
    TokenVerdict,
};
use support::{Cluster, gateway::Gateway, wait_for};
use tokio::time::sleep;

const TENANT: &str = "desk";
/// Times are told in whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// Replicas that may keep tokens for a while.
async fn cluster(size: usize) -> Cluster {
    let mut cluster = Cluster::prepare(size).await;
    for machine in &mut cluster.machines {
        machine.config.quotas = QuotaTolerance {
            window_ms: 1_000,
            excess_permille: 0,
            slack: 40,
        };
    }
    cluster.start_all().await;
    cluster.leader().await;
    cluster
}

fn document(version: u64, per_second: f64) -> RouteDocument {
    let quota = RequestQuota {
        per_second,
        burst: 0.0,
    };
    let tenant = Tenant {
        name: TENANT.into(),
        keys: vec![KeyDigest::of(b"key-of-a-test")],
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: Some(quota),
    };
    RouteDocument {
        version,
        services: BTreeMap::new(),
        routes: Vec::new(),
        limits: CallerLimits::default(),
        tenants: vec![tenant],
    }
}

/// Puts a version in force, through the leader.
async fn put(cluster: &Cluster, version: u64, per_second: f64) {
    let leader = cluster.leader().await;
    let handle = cluster.machines[leader].handle.as_ref();
    let routes = handle.expect("a running replica").routes();
    let document = document(version, per_second);
    let source = Vec::new().into();
    routes.put(document, source).await.expect("put routes");
}

/// Asks until the verdict is as wanted.
async fn until_verdict(
    what: &str,
    gateway: &mut Gateway,
    is_wanted: impl Fn(TokenVerdict) -> bool,
) -> TokenVerdict {
    let gateway = tokio::sync::Mutex::new(gateway);
    wait_for(what, || async {
        let verdict = gateway.lock().await.take_token(TENANT).await;
        is_wanted(verdict).then_some(verdict)
    })
    .await
}

fn is_granted(verdict: TokenVerdict) -> bool {
    matches!(verdict, TokenVerdict::Granted(_))
}

fn is_over_quota(verdict: TokenVerdict) -> bool {
    matches!(verdict, TokenVerdict::OverQuota { .. })
}

#[tokio::test]
async fn every_replica_grants_of_its_part_whoever_leads() {
    let cluster = cluster(3).await;
    put(&cluster, 1, 100.0).await;
    for machine in &cluster.machines {
        let mut gateway = Gateway::connect(machine.internal()).await;
        until_verdict("a token", &mut gateway, is_granted).await;
    }
}

#[tokio::test]
async fn a_part_that_is_used_up_refuses_with_the_time_until_a_token_is_there() {
    let cluster = cluster(1).await;
    put(&cluster, 1, 4.0).await;
    let leader = cluster.machines[0].internal();
    let mut gateway = Gateway::connect(leader).await;
    let verdict = until_verdict("a part that is used up", &mut gateway, is_over_quota).await;
    let TokenVerdict::OverQuota { retry_after_ms } = verdict else {
        unreachable!("nothing else was waited for");
    };
    // One of two parts: two tokens a second.
    assert!(retry_after_ms <= 500, "{retry_after_ms}");
    sleep(Duration::from_millis(retry_after_ms.into()) + ROUNDING).await;
    assert!(is_granted(gateway.take_token(TENANT).await));
}

#[tokio::test]
async fn a_replica_without_a_quorum_has_no_part() {
    let mut cluster = cluster(3).await;
    put(&cluster, 1, 100.0).await;
    let leader = cluster.leader().await;
    let mut gateway = Gateway::connect(cluster.machines[leader].internal()).await;
    until_verdict("a token", &mut gateway, is_granted).await;
    for machine in 0..3 {
        if machine != leader {
            cluster.machines[machine].kill().await;
        }
    }
    let is_without = |verdict| verdict == TokenVerdict::NoPart;
    until_verdict("no part", &mut gateway, is_without).await;
}

#[tokio::test]
async fn a_lower_limit_binds_with_its_version() {
    let cluster = cluster(1).await;
    put(&cluster, 1, 10_000.0).await;
    let mut gateway = Gateway::connect(cluster.machines[0].internal()).await;
    until_verdict("a token", &mut gateway, is_granted).await;
    put(&cluster, 2, 0.01).await;
    // What the part held before may still be granted: its depth is half of the slack.
    let mut granted = 0;
    while is_granted(gateway.take_token(TENANT).await) {
        granted += 1;
    }
    assert!(granted <= 20, "{granted}");
    assert!(is_over_quota(gateway.take_token(TENANT).await));
}

#[tokio::test]
async fn a_tenant_that_is_not_known_has_no_part() {
    let cluster = cluster(1).await;
    let mut gateway = Gateway::connect(cluster.machines[0].internal()).await;
    assert_eq!(gateway.take_token(TENANT).await, TokenVerdict::NoPart);
}

#[tokio::test]
async fn half_of_the_replicas_keep_their_parts_without_a_leader() {
    let mut cluster = cluster(4).await;
    put(&cluster, 1, 100.0).await;
    let patience = Duration::from_millis(cluster.machines[0].config.repair_patience_ms);
    let leader = cluster.leader().await;
    let others = [(leader + 2) % 4, (leader + 3) % 4];
    for machine in others {
        let mut gateway = Gateway::connect(cluster.machines[machine].internal()).await;
        until_verdict("a token", &mut gateway, is_granted).await;
    }
    for machine in [leader, (leader + 1) % 4] {
        cluster.machines[machine].kill().await;
    }
    let killed_at = Instant::now();
    sleep(2 * patience).await;
    for machine in others {
        let mut gateway = Gateway::connect(cluster.machines[machine].internal()).await;
        until_verdict("a token", &mut gateway, is_granted).await;
    }
    assert!(killed_at.elapsed() >= 2 * patience);
    cluster.machines[others[0]].kill().await;
    let mut gateway = Gateway::connect(cluster.machines[others[1]].internal()).await;
    let is_without = |verdict| verdict == TokenVerdict::NoPart;
    until_verdict("no part", &mut gateway, is_without).await;
}

#[tokio::test]
async fn a_replica_keeps_its_part_for_a_while_after_its_leader() {
    let mut cluster = cluster(3).await;
    put(&cluster, 1, 100.0).await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal()).await;
    until_verdict("a token", &mut gateway, is_granted).await;
    for machine in 0..3 {
        if machine != follower {
            cluster.machines[machine].kill().await;
        }
    }
    // Longer than an election timeout, after which it knows no leader, and shorter than the repair patience.
    let config = &cluster.machines[leader].config;
    sleep(2 * Duration::from_millis(config.election_timeout_ms)).await;
    let verdict = gateway.take_token(TENANT).await;
    assert!(is_granted(verdict), "{verdict:?}");
}
