//! Tenants' quotas: the tokens that replicas grant to gateways from their parts of each quota.

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
/// Retry times are whole milliseconds.
const RETRY_ROUNDING: Duration = Duration::from_millis(1);

/// Starts replicas whose slack lets their parts accumulate tokens.
async fn start_cluster(size: usize) -> Cluster {
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

/// Applies a new version of the routes, with a quota, through the leader.
async fn put_routes(cluster: &Cluster, version: u64, per_second: f64) {
    let leader = cluster.leader().await;
    let handle = cluster.machines[leader].handle.as_ref();
    let routes = handle.expect("a running replica").routes();
    let document = document(version, per_second);
    let source = Vec::new().into();
    routes.put(document, source).await.expect("put routes");
}

/// Requests tokens until a verdict satisfies `is_expected`.
async fn wait_for_verdict(
    what: &str,
    gateway: &mut Gateway,
    is_expected: impl Fn(TokenVerdict) -> bool,
) -> TokenVerdict {
    let gateway = tokio::sync::Mutex::new(gateway);
    wait_for(what, || async {
        let verdict = gateway.lock().await.take_token(TENANT).await;
        is_expected(verdict).then_some(verdict)
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
async fn every_replica_grants_from_its_part_as_leader_or_follower() {
    let cluster = start_cluster(3).await;
    put_routes(&cluster, 1, 100.0).await;
    for machine in &cluster.machines {
        let mut gateway = Gateway::connect(machine.internal_address()).await;
        wait_for_verdict("a token", &mut gateway, is_granted).await;
    }
}

#[tokio::test]
async fn an_empty_part_refuses_with_the_time_until_the_next_token() {
    let cluster = start_cluster(1).await;
    put_routes(&cluster, 1, 4.0).await;
    let leader = cluster.machines[0].internal_address();
    let mut gateway = Gateway::connect(leader).await;
    let verdict = wait_for_verdict("an empty part", &mut gateway, is_over_quota).await;
    let TokenVerdict::OverQuota { retry_after_ms } = verdict else {
        unreachable!("wait_for_verdict accepts only OverQuota");
    };
    // The part is one of two and gains two of the four tokens per second.
    assert!(retry_after_ms <= 500, "{retry_after_ms}");
    sleep(Duration::from_millis(retry_after_ms.into()) + RETRY_ROUNDING).await;
    assert!(is_granted(gateway.take_token(TENANT).await));
}

#[tokio::test]
async fn a_replica_without_a_quorum_has_no_part() {
    let mut cluster = start_cluster(3).await;
    put_routes(&cluster, 1, 100.0).await;
    let leader = cluster.leader().await;
    let mut gateway = Gateway::connect(cluster.machines[leader].internal_address()).await;
    wait_for_verdict("a token", &mut gateway, is_granted).await;
    for machine in 0..3 {
        if machine != leader {
            cluster.machines[machine].kill().await;
        }
    }
    let has_no_part = |verdict| verdict == TokenVerdict::NoPart;
    wait_for_verdict("no part", &mut gateway, has_no_part).await;
}

#[tokio::test]
async fn a_lower_quota_takes_effect_with_its_version() {
    let cluster = start_cluster(1).await;
    put_routes(&cluster, 1, 10_000.0).await;
    let mut gateway = Gateway::connect(cluster.machines[0].internal_address()).await;
    wait_for_verdict("a token", &mut gateway, is_granted).await;
    put_routes(&cluster, 2, 0.01).await;
    // Tokens that the part already held may still be granted. Its capacity is half of the slack.
    let mut granted = 0;
    while is_granted(gateway.take_token(TENANT).await) {
        granted += 1;
    }
    assert!(granted <= 20, "{granted}");
    assert!(is_over_quota(gateway.take_token(TENANT).await));
}

#[tokio::test]
async fn an_unknown_tenant_has_no_part() {
    let cluster = start_cluster(1).await;
    let mut gateway = Gateway::connect(cluster.machines[0].internal_address()).await;
    assert_eq!(gateway.take_token(TENANT).await, TokenVerdict::NoPart);
}

#[tokio::test]
async fn half_of_the_replicas_keep_their_parts_without_a_leader() {
    let mut cluster = start_cluster(4).await;
    put_routes(&cluster, 1, 100.0).await;
    let repair_patience = Duration::from_millis(cluster.machines[0].config.repair_patience_ms);
    let leader = cluster.leader().await;
    let survivors = [(leader + 2) % 4, (leader + 3) % 4];
    for machine in survivors {
        let mut gateway = Gateway::connect(cluster.machines[machine].internal_address()).await;
        wait_for_verdict("a token", &mut gateway, is_granted).await;
    }
    for machine in [leader, (leader + 1) % 4] {
        cluster.machines[machine].kill().await;
    }
    let killed_at = Instant::now();
    sleep(2 * repair_patience).await;
    for machine in survivors {
        let mut gateway = Gateway::connect(cluster.machines[machine].internal_address()).await;
        wait_for_verdict("a token", &mut gateway, is_granted).await;
    }
    assert!(killed_at.elapsed() >= 2 * repair_patience);
    cluster.machines[survivors[0]].kill().await;
    let mut gateway = Gateway::connect(cluster.machines[survivors[1]].internal_address()).await;
    let has_no_part = |verdict| verdict == TokenVerdict::NoPart;
    wait_for_verdict("no part", &mut gateway, has_no_part).await;
}

#[tokio::test]
async fn a_replica_keeps_its_part_for_a_while_after_losing_its_leader() {
    let mut cluster = start_cluster(3).await;
    put_routes(&cluster, 1, 100.0).await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal_address()).await;
    wait_for_verdict("a token", &mut gateway, is_granted).await;
    for machine in 0..3 {
        if machine != follower {
            cluster.machines[machine].kill().await;
        }
    }
    // Longer than an election timeout, after which the replica knows no leader, but shorter than the
    // repair patience.
    let config = &cluster.machines[leader].config;
    sleep(2 * Duration::from_millis(config.election_timeout_ms)).await;
    let verdict = gateway.take_token(TENANT).await;
    assert!(is_granted(verdict), "{verdict:?}");
}
