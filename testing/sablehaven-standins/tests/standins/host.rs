//! A whole deployment's back ends, worked through the administration interface.

use std::{path::Path, time::Duration};

use sablehaven_schema::{DeploymentSchema, fleet_file::FleetFile};
use sablehaven_standins::{
    backend::{Behaviour, HeldSnapshot, NetworkMap},
    host::{self, AdminClient, AdminError, HostFile, RunningHost},
    platform::MachineList,
};
use sablehaven_types::{BackendId, BackendState, Placement, ShardId, SnapshotId, http};

async fn start_trinacria() -> (RunningHost, AdminClient) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments/trinacria");
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("readable");
    let schema = DeploymentSchema::parse("schema.proto", &read("schema.proto")).expect("schema");
    let fleet = FleetFile::parse(&read("fleet.toml")).expect("fleet");
    let file = HostFile::of_fleet(&fleet, &fleet.full, &schema, 0, 1);
    let host = host::start(file).await.expect("host starts");
    let admin = AdminClient::new(host.report().admin).expect("client");
    (host, admin)
}

#[tokio::test]
async fn the_back_ends_of_a_deployment_stand_at_the_size_of_today() {
    let (host, admin) = start_trinacria().await;
    // 4 x 4 portal, 6 x 4 app, 30 donor records, 15 route planner.
    assert_eq!(host.report().backends.len(), 85);
    assert_eq!(&admin.host().await.expect("report"), host.report());
    let url = format!(
        "http://{}/machines",
        host.report().platform.expect("platform")
    );
    let list: MachineList = reqwest::get(url)
        .await
        .expect("list")
        .json()
        .await
        .expect("JSON");
    assert_eq!(list.machines, host.report().backends);
}

#[tokio::test]
async fn the_administration_interface_reaches_a_back_end() {
    let (host, admin) = start_trinacria().await;
    let id = BackendId::from("route-planner-1-1");
    let behaviour = Behaviour {
        stuck: true,
        ..Behaviour::default()
    };
    admin.behave(&id, &behaviour).await.expect("behaves");
    let held = HeldSnapshot {
        snapshot: SnapshotId {
            generation: 2,
            partition_map: 1,
        },
        shards: [ShardId(3)].into(),
    };
    admin.hold(&id, &held).await.expect("holds");
    let status = host.backend(&id).expect("back end").status();
    assert_eq!(status.behaviour, behaviour);
    assert!(status.held.contains(&held));
    admin
        .drop_snapshot(&id, held.snapshot)
        .await
        .expect("drops");
    admin.drain(&id).await.expect("drains");
    let status = host.backend(&id).expect("back end").status();
    assert!(!status.held.contains(&held));
    assert_eq!(status.record.state, BackendState::Leaving);
    admin.lose(&id).await.expect("is lost");
    assert!(host.backend(&id).expect("back end").status().lost);
    admin.restore(&id).await.expect("comes back");
    let record = host.backend(&id).expect("back end").record();
    assert_eq!((record.state, record.incarnation), (BackendState::Live, 2));
    assert!(admin.executions(0).await.expect("records").is_empty());
}

#[tokio::test]
async fn an_unknown_back_end_is_named() {
    let (_host, admin) = start_trinacria().await;
    let error = admin
        .drain(&BackendId::from("nobody"))
        .await
        .expect_err("refused");
    assert!(
        matches!(error, AdminError::Refused { status: 404, .. }),
        "{error}"
    );
}

#[tokio::test]
async fn callers_from_another_region_wait_for_the_way_there_and_back() {
    let (host, admin) = start_trinacria().await;
    let record = &host.report().backends[0];
    let far = Placement {
        region: "elsewhere".into(),
        zone: "elsewhere-a".into(),
    };
    let map = NetworkMap {
        between_zones_ms: 0,
        between_regions_ms: 60,
        sources: [([127, 0, 0, 1].into(), far)].into(),
    };
    admin.set_network(&map).await.expect("network");
    let method = format!("http://{}/{}/GetDonor", record.address, record.service);
    let started = std::time::Instant::now();
    let request = crate::common::client().post(method);
    let request = request
        .header(http::SHARD, "0")
        .header(http::SNAPSHOT, "1.1");
    let reply = request
        .header(http::ATTEMPT, "1")
        .send()
        .await
        .expect("reply");
    assert!(reply.headers().contains_key(http::BACKEND), "{reply:?}");
    assert!(started.elapsed() >= Duration::from_millis(120));
}
