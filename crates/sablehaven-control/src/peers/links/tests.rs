//! Tests of the selection of a connection for a message.

use sablehaven_types::LoanRequest;

use super::*;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn loan_request() -> PeerPayload {
    PeerPayload::LoanRequest(LoanRequest {
        number: 4,
        tenant: "desk".into(),
        wanted: 2,
    })
}

#[test]
fn a_payload_is_queued_only_for_its_recipient() {
    let links = Links::new(Metrics::default());
    let (first, mut first_queue) = mpsc::channel(4);
    let (second, mut second_queue) = mpsc::channel(4);
    links.set_up(address(1), ReplicaId(1), first);
    links.set_up(address(2), ReplicaId(2), second);
    links.send_payload(ReplicaId(2), loan_request());
    let sent = second_queue.try_recv().expect("a message");
    assert_eq!((sent.group, sent.payload), (NO_GROUP, loan_request()));
    assert!(first_queue.try_recv().is_err());
}

#[test]
fn a_payload_for_a_replica_without_a_connection_is_dropped() {
    let links = Links::new(Metrics::default());
    let (sender, mut queue) = mpsc::channel(4);
    links.set_up(address(1), ReplicaId(1), sender);
    links.set_down(address(1));
    links.send_payload(ReplicaId(1), loan_request());
    assert!(queue.try_recv().is_err());
    assert!(links.connected().is_empty());
}

#[test]
fn a_replica_with_two_connections_is_listed_once() {
    let links = Links::new(Metrics::default());
    for port in [1, 2] {
        let (sender, _queue) = mpsc::channel(4);
        links.set_up(address(port), ReplicaId(7), sender);
    }
    assert_eq!(links.connected(), [ReplicaId(7)]);
}
