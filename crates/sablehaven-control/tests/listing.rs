//! The platform's list of servers: every replica has the versions that the leader read, and a new leader continues
//! from them.

mod support;

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use sablehaven_control::{ListReading, ServerListFuture, ServerSource};
use sablehaven_types::{ListedServer, ListingNumber, ListingUpdate};
use support::{Cluster, gateway::Gateway};

/// A server list that the test can extend, and that can become unreadable.
#[derive(Default)]
struct ChangeableServerList {
    servers: Mutex<Vec<ListedServer>>,
    is_unreadable: AtomicBool,
}

impl ChangeableServerList {
    fn add(&self, number: u16) {
        let server = ListedServer {
            id: format!("i-{number}").as_str().into(),
            service: "search".into(),
            address: ([127, 0, 0, 1], number).into(),
            zone: "a".into(),
            slots: 1,
            is_draining: false,
            warmup_left_ms: 0,
            started_at_ms: None,
        };
        self.servers.lock().expect("the list").push(server);
    }
}

impl ServerSource for ChangeableServerList {
    fn read(&self) -> ServerListFuture<'_> {
        if self.is_unreadable.load(Ordering::SeqCst) {
            return Box::pin(std::future::ready(Err("the list is unreadable".into())));
        }
        let servers = self.servers.lock().expect("the list").clone();
        let reading = ListReading {
            servers,
            rejected: Vec::new(),
        };
        Box::pin(std::future::ready(Ok(reading)))
    }
}

/// Starts three replicas with a list of 200 servers.
async fn start_cluster() -> (Cluster, Arc<ChangeableServerList>) {
    let list = Arc::new(ChangeableServerList::default());
    for number in 1..=200 {
        list.add(number);
    }
    let mut cluster = Cluster::prepare(3).await;
    for machine in &mut cluster.machines {
        machine.config.listing_interval_ms = 100;
        machine.servers = Some(Arc::clone(&list) as Arc<dyn ServerSource>);
    }
    cluster.start_all().await;
    (cluster, list)
}

#[tokio::test]
async fn a_gateway_gets_the_list_from_a_follower() {
    let (cluster, list) = start_cluster().await;
    let follower = cluster.follower().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal_address()).await;
    let first = gateway.wait_for_listing(ListingNumber::default()).await;
    let update = gateway.fetch_listing(ListingNumber::default()).await;
    let ListingUpdate::Whole(whole) = update else {
        panic!("{update:?}");
    };
    assert_eq!(whole.servers.len(), 200);
    assert_eq!(whole.number, first.listing);

    list.add(201);
    gateway.wait_for_listing(whole.number).await;
    let update = gateway.fetch_listing(whole.number).await;
    let ListingUpdate::Change(change) = update else {
        panic!("{update:?}");
    };
    assert_eq!((change.changed.len(), change.gone.len()), (1, 0));
    let next = change
        .apply(&whole)
        .expect("a change based on the held list");
    assert_eq!(next.servers.len(), 201);
}

/// Guards against keeping the list only in the leader's memory: each election then caused the whole list to be sent to
/// every gateway.
#[tokio::test]
async fn a_new_leader_sends_only_the_changes_of_the_list() {
    let (mut cluster, list) = start_cluster().await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal_address()).await;
    let versions = gateway.wait_for_listing(ListingNumber::default()).await;
    let held = versions.listing;
    cluster.machines[leader].kill().await;
    list.add(201);
    let number = loop {
        let offered = gateway.wait_for_listing(held).await.listing;
        if offered.term > held.term {
            break offered;
        }
    };
    let update = gateway.fetch_listing(held).await;
    let ListingUpdate::Change(change) = update else {
        panic!("{update:?}");
    };
    assert_eq!((change.base, change.number), (held, number));
    assert_eq!(change.changed.len(), 1);
}

#[tokio::test]
async fn a_restarted_replica_has_the_list_again() {
    let (mut cluster, list) = start_cluster().await;
    let follower = cluster.follower().await;
    cluster.machines[follower].kill().await;
    list.add(201);
    cluster.machines[follower].start().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal_address()).await;
    gateway.wait_for_listing(ListingNumber::default()).await;
    let update = gateway.fetch_listing(ListingNumber::default()).await;
    let ListingUpdate::Whole(whole) = update else {
        panic!("{update:?}");
    };
    assert!(whole.servers.len() >= 200);
}

/// Guards against keeping the list in memory only: after a restart of all replicas while the list could not be read,
/// gateways had no servers.
#[tokio::test]
async fn restarted_replicas_have_the_last_list_while_it_cannot_be_read() {
    let (mut cluster, list) = start_cluster().await;
    let mut stored = Vec::new();
    for machine in &cluster.machines {
        stored.push(machine.config.data_folder.join("server-listing"));
    }
    while !stored.iter().all(|file| file.exists()) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    list.is_unreadable.store(true, Ordering::SeqCst);
    for machine in &mut cluster.machines {
        machine.kill().await;
    }
    // A damaged file is ignored.
    std::fs::write(&stored[0], b"damaged").expect("write");
    cluster.start_all().await;
    for index in [1, 2] {
        let mut gateway = Gateway::connect(cluster.machines[index].internal_address()).await;
        gateway.wait_for_listing(ListingNumber::default()).await;
        let update = gateway.fetch_listing(ListingNumber::default()).await;
        let ListingUpdate::Whole(whole) = update else {
            panic!("{update:?}");
        };
        assert_eq!(whole.servers.len(), 200);

        // Once the list can be read again, it replaces the stored one.
        if index == 2 {
            list.add(201);
            list.is_unreadable.store(false, Ordering::SeqCst);
            let versions = gateway.wait_for_listing(whole.number).await;
            assert!(versions.listing.term > whole.number.term);
        }
    }
}
