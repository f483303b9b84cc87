//! The platform's list of servers: every replica has the leader's readings, and the next leader goes on from them.

mod support;

use std::sync::{Arc, Mutex};

use sablehaven_control::{ServerListFuture, ServerSource};
use sablehaven_types::{ListedServer, ListingNumber, ListingUpdate};
use support::{Cluster, gateway::Gateway};

/// A list that the test changes.
#[derive(Default)]
struct ChangingList {
    servers: Mutex<Vec<ListedServer>>,
}

impl ChangingList {
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

impl ServerSource for ChangingList {
    fn read(&self) -> ServerListFuture<'_> {
        let servers = self.servers.lock().expect("the list").clone();
        Box::pin(std::future::ready(Ok(servers)))
    }
}

/// Three replicas over a list of 200 servers.
async fn cluster() -> (Cluster, Arc<ChangingList>) {
    let list = Arc::new(ChangingList::default());
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
async fn a_gateway_has_the_list_from_a_replica_that_does_not_lead() {
    let (cluster, list) = cluster().await;
    let follower = cluster.follower().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal()).await;
    let first = gateway.offered_listing(ListingNumber::default()).await;
    let update = gateway.fetch_listing(ListingNumber::default()).await;
    let ListingUpdate::Whole(whole) = update else {
        panic!("{update:?}");
    };
    assert_eq!(whole.servers.len(), 200);
    assert_eq!(whole.number, first.listing);

    list.add(201);
    gateway.offered_listing(whole.number).await;
    let update = gateway.fetch_listing(whole.number).await;
    let ListingUpdate::Change(change) = update else {
        panic!("{update:?}");
    };
    assert_eq!((change.changed.len(), change.gone.len()), (1, 0));
    let next = change.apply(&whole).expect("a change of what it has");
    assert_eq!(next.servers.len(), 201);
}

/// With the list in the leader's memory alone, each election sent all of it to every gateway.
#[tokio::test]
async fn a_new_leader_sends_what_has_changed_and_not_the_whole_list() {
    let (mut cluster, list) = cluster().await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal()).await;
    let held = gateway.offered_listing(ListingNumber::default()).await;
    let held = held.listing;
    cluster.machines[leader].kill().await;
    list.add(201);
    let later = loop {
        let offered = gateway.offered_listing(held).await.listing;
        if offered.term > held.term {
            break offered;
        }
    };
    let update = gateway.fetch_listing(held).await;
    let ListingUpdate::Change(change) = update else {
        panic!("{update:?}");
    };
    assert_eq!((change.base, change.number), (held, later));
    assert_eq!(change.changed.len(), 1);
}

#[tokio::test]
async fn a_replica_that_was_away_has_the_list_again() {
    let (mut cluster, list) = cluster().await;
    let follower = cluster.follower().await;
    cluster.machines[follower].kill().await;
    list.add(201);
    cluster.machines[follower].start().await;
    let mut gateway = Gateway::connect(cluster.machines[follower].internal()).await;
    gateway.offered_listing(ListingNumber::default()).await;
    let update = gateway.fetch_listing(ListingNumber::default()).await;
    let ListingUpdate::Whole(whole) = update else {
        panic!("{update:?}");
    };
    assert!(whole.servers.len() >= 200);
}
