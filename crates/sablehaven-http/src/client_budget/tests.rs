//! Tests of what is closed or refused when a limit is reached.

use std::{future::Future, pin::pin, time::Duration};

use futures::poll;
use tokio::time::sleep;

use super::{ClientBudget, ConnectionSlot, HeldFor, ListenerShare, NoMemoryLeft};
use crate::ClientLimits;

const MAX_CONNECTIONS: usize = 3;
const BODY_BYTES: usize = 1_000;

fn budget() -> ClientBudget {
    ClientBudget::new(ClientLimits {
        max_connections: 100,
        connection_bytes: 100 * 1024 * 1024,
        body_bytes: BODY_BYTES,
        max_probe_connections: 1,
        socket_buffer_bytes: 16 * 1024,
    })
}

/// Opens connections, each a little after the one before.
async fn open(share: &ListenerShare, count: usize) -> Vec<ConnectionSlot> {
    let mut slots = Vec::new();
    for _ in 0..count {
        slots.push(share.open(0).await.expect("a connection"));
        sleep(Duration::from_millis(2)).await;
    }
    slots
}

async fn is_evicted(slot: &ConnectionSlot) -> bool {
    poll!(pin!(slot.evicted())).is_ready()
}

/// Polls a future that waits for a connection to close, closes that connection and returns the output.
async fn after_close<Output>(
    waiting: impl Future<Output = Output>,
    slots: &mut Vec<ConnectionSlot>,
    expected: usize,
) -> Output {
    let mut waiting = pin!(waiting);
    assert!(poll!(waiting.as_mut()).is_pending());
    for (index, slot) in slots.iter().enumerate() {
        assert_eq!(
            is_evicted(slot).await,
            index == expected,
            "connection {index}"
        );
    }
    drop(slots.remove(expected));
    waiting.await
}

#[tokio::test]
async fn the_connection_that_waits_longest_is_closed_for_a_new_one() {
    let budget = budget();
    let share = budget.listener(MAX_CONNECTIONS);
    let mut slots = open(&share, MAX_CONNECTIONS).await;
    // The first connection has sent the next request in the meantime.
    slots[0].activity().request_started();
    let opened = after_close(share.open(0), &mut slots, 1).await;
    assert!(opened.is_some());
    assert_eq!(budget.usage().connections, MAX_CONNECTIONS);
    assert_eq!(budget.usage().closed_connections, 1);
}

#[tokio::test]
async fn a_new_connection_is_refused_if_all_others_are_served() {
    let budget = budget();
    let share = budget.listener(MAX_CONNECTIONS);
    let slots = open(&share, MAX_CONNECTIONS).await;
    for slot in &slots {
        slot.activity().request_started();
    }
    assert!(share.open(0).await.is_none());
    assert_eq!(budget.usage().refused_connections, 1);
    slots[1].activity().response_ready();
    drop(slots);
    assert!(share.open(0).await.is_some());
}

#[tokio::test]
async fn a_listener_does_not_close_connections_of_another() {
    let budget = budget();
    let callers = open(&budget.listener(MAX_CONNECTIONS), MAX_CONNECTIONS).await;
    let probes = budget.listener(1);
    let mut probe_slots = open(&probes, 1).await;
    assert!(
        after_close(probes.open(0), &mut probe_slots, 0)
            .await
            .is_some()
    );
    for slot in &callers {
        assert!(!is_evicted(slot).await);
    }
}

/// A client that sends a byte now and then is as slow as one that has stopped.
#[tokio::test]
async fn trickling_bytes_do_not_save_a_connection() {
    let budget = budget();
    let share = budget.listener(2);
    let mut slots = open(&share, 2).await;
    for slot in &slots {
        slot.activity().bytes_received();
        sleep(Duration::from_millis(2)).await;
    }
    slots[0].activity().bytes_received();
    assert!(after_close(share.open(0), &mut slots, 0).await.is_some());
}

#[tokio::test]
async fn the_slowest_upload_is_closed_for_the_bytes_of_another() {
    let budget = budget();
    let share = budget.listener(MAX_CONNECTIONS);
    let mut slots = open(&share, MAX_CONNECTIONS).await;
    let mut held = Vec::new();
    for slot in &slots[1..] {
        slot.activity().request_started();
        slot.activity().body_started();
        held.push(
            slot.client()
                .hold(300, HeldFor::Request)
                .await
                .expect("bytes"),
        );
        sleep(Duration::from_millis(2)).await;
    }
    // The first connection is older, but closing it would release nothing.
    let newcomer = slots.remove(0);
    newcomer.activity().request_started();
    let holding = newcomer.client().hold(300, HeldFor::Request);
    let mut holding = pin!(holding);
    assert!(poll!(holding.as_mut()).is_pending());
    assert!(is_evicted(&slots[0]).await);
    assert!(!is_evicted(&slots[1]).await);
    drop(held.remove(0));
    assert_eq!(holding.await.expect("bytes").length(), 300);
}

#[tokio::test]
async fn requests_leave_memory_for_replies() {
    let budget = budget();
    let slots = open(&budget.listener(2), 2).await;
    for slot in &slots {
        slot.activity().request_started();
    }
    let request = slots[0].client().hold(750, HeldFor::Request).await;
    let request = request.expect("bytes");
    let refused = slots[1].client().hold(1, HeldFor::Request).await;
    assert_eq!(refused.err(), Some(NoMemoryLeft { length: 1 }));
    let reply = slots[1].client().hold(250, HeldFor::Reply).await;
    assert_eq!(
        reply.expect("bytes").length() + request.length(),
        BODY_BYTES
    );
    assert_eq!(budget.usage().refused_bodies, 1);
}

#[tokio::test]
async fn a_response_over_the_limit_closes_the_slowest_reader() {
    let budget = budget();
    let slots = open(&budget.listener(2), 2).await;
    let first = slots[0].client().hold_response(600);
    let second = slots[1].client().hold_response(600);
    assert!(is_evicted(&slots[0]).await);
    assert!(!is_evicted(&slots[1]).await);
    drop(first);
    assert_eq!(budget.usage().body_bytes, 600);
    drop(second);
    assert_eq!(budget.usage().body_bytes, 0);
}

#[tokio::test]
async fn a_response_that_no_other_connection_makes_room_for_is_not_sent() {
    let budget = budget();
    let slots = open(&budget.listener(1), 1).await;
    let _held = slots[0].client().hold_response(BODY_BYTES + 1);
    assert!(is_evicted(&slots[0]).await);
}
