//! Tests of the state machines for ledger calls, observations, hints and the selection of a control
//! replica.

mod support;

use std::{net::SocketAddr, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_relay::{
    FinishedCall, HintCache, Interest, LedgerBatcher, LedgerLimits, LinkEnd, ObservationQueue,
    RelayState, ReplicaSelector, TooManyCalls,
};
use sablehaven_types::{BackendState, LedgerReply, ObservationKind};
use support::{claim, draining, full_state, record};

const LIMITS: LedgerLimits = LedgerLimits {
    batch_delay: Duration::from_millis(2),
    max_batch_calls: 3,
    max_open_calls: 8,
    max_open_calls_per_agent: 5,
    timeout: Duration::from_secs(2),
};

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn finished_call(session: u64, call: u64, reply: Option<LedgerReply>) -> FinishedCall {
    FinishedCall {
        session,
        call,
        reply,
    }
}

#[test]
fn calls_are_sent_in_a_batch_after_a_delay_or_when_it_is_full() {
    let mut batcher = LedgerBatcher::new(LIMITS);
    batcher
        .add(1, 10, claim(1), milliseconds(5))
        .expect("within the limits");
    assert_eq!(batcher.due_at(), Some(milliseconds(7)));
    batcher
        .add(2, 20, claim(2), milliseconds(6))
        .expect("within the limits");
    batcher
        .add(1, 11, claim(3), milliseconds(6))
        .expect("within the limits");
    assert_eq!(batcher.due_at(), Some(milliseconds(5)), "the batch is full");
    batcher
        .add(1, 12, claim(4), milliseconds(6))
        .expect("within the limits");
    let batch = batcher.take_batch(1);
    assert_eq!(batch.len(), 3);
    let reply = batcher.complete(batch[1].0, LedgerReply::Recorded);
    assert_eq!(
        reply,
        Some(finished_call(2, 20, Some(LedgerReply::Recorded)))
    );
    assert_eq!(batcher.complete(batch[1].0, LedgerReply::Recorded), None);
    assert_eq!(batcher.take_batch(1).len(), 1);
}

#[test]
fn too_many_calls_are_rejected() {
    let mut batcher = LedgerBatcher::new(LIMITS);
    for call in 0..5 {
        batcher
            .add(1, call, claim(call), milliseconds(0))
            .expect("within the limits");
    }
    assert_eq!(
        batcher.add(1, 9, claim(9), milliseconds(0)),
        Err(TooManyCalls)
    );
    for call in 0..3 {
        batcher
            .add(2, call, claim(call), milliseconds(0))
            .expect("within the limits");
    }
    assert_eq!(
        batcher.add(3, 9, claim(9), milliseconds(0)),
        Err(TooManyCalls)
    );
    batcher.close_session(1);
    assert_eq!(batcher.add(1, 9, claim(9), milliseconds(0)), Ok(()));
}

#[test]
fn a_call_whose_connection_to_control_ends_is_not_sent_again() {
    let mut batcher = LedgerBatcher::new(LIMITS);
    batcher
        .add(1, 10, claim(1), milliseconds(0))
        .expect("within the limits");
    let batch = batcher.take_batch(1);
    batcher
        .add(1, 11, claim(2), milliseconds(0))
        .expect("within the limits");
    assert_eq!(batcher.close_link(1), [finished_call(1, 10, None)]);
    let next = batcher.take_batch(2);
    assert_eq!(next.len(), 1, "only the call that was not sent yet");
    assert_ne!(next[0].0, batch[0].0);
}

#[test]
fn calls_time_out_whether_sent_or_not() {
    let mut batcher = LedgerBatcher::new(LIMITS);
    batcher
        .add(1, 10, claim(1), milliseconds(0))
        .expect("within the limits");
    batcher.take_batch(1);
    batcher
        .add(1, 11, claim(2), milliseconds(100))
        .expect("within the limits");
    assert!(batcher.expire(milliseconds(1_999)).is_empty());
    assert_eq!(
        batcher.expire(milliseconds(2_000)),
        [finished_call(1, 10, None)]
    );
    assert_eq!(
        batcher.expire(milliseconds(2_100)),
        [finished_call(1, 11, None)]
    );
    assert_eq!(batcher.open_call_count(), 0);
    assert_eq!(batcher.due_at(), None);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Add(u64),
    TakeBatch(u64),
    Complete(usize),
    CloseLink(u64),
    CloseSession(u64),
    Expire(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u64).prop_map(Step::Add),
        2 => (0..2u64).prop_map(Step::TakeBatch),
        3 => (0..20usize).prop_map(Step::Complete),
        1 => (0..2u64).prop_map(Step::CloseLink),
        1 => (0..3u64).prop_map(Step::CloseSession),
        1 => (0..1_000u64).prop_map(Step::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x1ed9e2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each accepted call is sent at most once and answered at most once, and each accepted call of
    /// a session that stays open is answered.
    #[test]
    fn each_call_is_sent_and_answered_at_most_once(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut batcher = LedgerBatcher::new(LIMITS);
        let mut now = Duration::ZERO;
        let mut last_call_id = 0;
        let mut open = std::collections::BTreeSet::new();
        let mut sent = Vec::new();
        for step in steps {
            let mut replies = Vec::new();
            match step {
                Step::Add(session) => {
                    last_call_id += 1;
                    if batcher.add(session, last_call_id, claim(last_call_id), now).is_ok() {
                        open.insert((session, last_call_id));
                    }
                }
                Step::TakeBatch(link) => {
                    for (call_id, _) in batcher.take_batch(link) {
                        prop_assert!(!sent.contains(&call_id), "{call_id} was sent twice");
                        sent.push(call_id);
                    }
                }
                Step::Complete(index) => {
                    if let Some(call_id) = sent.get(index) {
                        replies.extend(batcher.complete(*call_id, LedgerReply::Recorded));
                    }
                }
                Step::CloseLink(link) => replies = batcher.close_link(link),
                Step::CloseSession(session) => {
                    batcher.close_session(session);
                    open.retain(|(owner, _)| *owner != session);
                }
                Step::Expire(elapsed_ms) => {
                    now += milliseconds(elapsed_ms);
                    replies = batcher.expire(now);
                }
            }
            for reply in replies {
                prop_assert!(
                    open.remove(&(reply.session, reply.call)),
                    "{reply:?} was delivered twice"
                );
            }
            prop_assert_eq!(batcher.open_call_count(), open.len());
        }
        batcher.expire(now + LIMITS.timeout);
        prop_assert_eq!(batcher.open_call_count(), 0);
    }
}

#[test]
fn a_draining_observation_is_forwarded_once_and_others_once_per_agent() {
    let mut queue = ObservationQueue::new(milliseconds(50));
    let mut unreachable = draining("depot-2", "stock.Search", 1);
    unreachable.kind = ObservationKind::Unreachable;
    for agent in ["agent-1", "agent-2", "agent-3"] {
        let observation = draining("depot-1", "stock.Search", 1);
        queue.add(&agent.into(), observation, milliseconds(0));
        queue.add(&agent.into(), unreachable.clone(), milliseconds(0));
        queue.add(&agent.into(), unreachable.clone(), milliseconds(0));
    }
    assert_eq!(queue.take_report(milliseconds(0)).len(), 4);
    assert_eq!(queue.due_at(), None);
    let again = draining("depot-1", "stock.Search", 1);
    queue.add(&"agent-1".into(), again, milliseconds(3_000));
    assert_eq!(
        queue.take_report(milliseconds(3_000)).len(),
        1,
        "the first may have been lost"
    );
}

#[test]
fn a_hint_is_removed_once_control_has_committed_the_change() {
    let mut state = RelayState::default();
    state.apply(full_state(1, &["stock.Search"]));
    let mut hints = HintCache::new(milliseconds(10_000));
    let observation = draining("stock.Search-backend", "stock.Search", 1);
    let now = milliseconds(0);
    assert!(hints.insert(&observation, &state, now));
    assert!(!hints.insert(&observation, &state, now), "already cached");
    let unknown = draining("depot-9", "stock.Search", 1);
    assert!(!hints.insert(&unknown, &state, now));
    let interest = Interest::new(["stock.Search".into()].into());
    let other = Interest::new(["stock.Reserve".into()].into());
    assert_eq!(hints.matching(&interest).len(), 1);
    assert!(hints.matching(&other).is_empty());
    let mut update = full_state(2, &["stock.Search"]);
    let leaving = record(
        "stock.Search-backend",
        "stock.Search",
        1,
        BackendState::Leaving,
    );
    update.backends.insert(leaving.id.clone(), Some(leaving));
    state.apply(update);
    hints.prune(&state, now);
    assert!(hints.matching(&interest).is_empty());
}

fn replica(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn selector() -> ReplicaSelector {
    let replicas = vec![replica(1), replica(2), replica(3)];
    ReplicaSelector::new(replicas, milliseconds(20), milliseconds(1_000), 5)
}

#[test]
fn replicas_are_tried_in_turn_with_increasing_delays() {
    let mut selector = selector();
    let mut waits = Vec::new();
    for round in 0..12 {
        let expected = replica(1 + round % 3);
        assert_eq!(selector.next_replica(), Some(expected));
        waits.push(selector.connection_ended(LinkEnd::Failed));
    }
    assert!(waits[0] >= milliseconds(10) && waits[0] <= milliseconds(20));
    assert!(waits[11] >= milliseconds(500) && waits[11] <= milliseconds(1_000));
}

#[test]
fn redirects_are_followed_at_once_but_not_in_a_loop() {
    let mut selector = selector();
    assert_eq!(selector.next_replica(), Some(replica(1)));
    let redirect = LinkEnd::Redirected(replica(9));
    assert_eq!(selector.connection_ended(redirect), Duration::ZERO);
    assert_eq!(selector.next_replica(), Some(replica(9)));
    assert_eq!(
        selector.connection_ended(LinkEnd::Redirected(replica(1))),
        Duration::ZERO
    );
    assert_eq!(selector.next_replica(), Some(replica(1)));
    assert!(
        selector.connection_ended(redirect) > Duration::ZERO,
        "two replicas name each other"
    );
    assert_eq!(selector.next_replica(), Some(replica(9)));
    selector.confirm_leader();
    assert_eq!(
        selector.connection_ended(LinkEnd::Redirected(replica(2))),
        Duration::ZERO
    );
}
