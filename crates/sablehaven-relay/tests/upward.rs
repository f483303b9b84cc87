//! Ledger calls, observations and the choice of the control replica, as pure state machines.

mod support;

use std::{net::SocketAddr, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_relay::{
    AgentReply, ControlChoice, HintBoard, Interest, LedgerLimits, LedgerRouter, LinkEnd,
    ObservationQueue, Refused, RelayState,
};
use sablehaven_types::{BackendState, LedgerReply, ObservationKind};
use support::{claim, draining, full_state, record};

const LIMITS: LedgerLimits = LedgerLimits {
    batch_delay: Duration::from_millis(2),
    batch: 3,
    total: 8,
    per_agent: 5,
    timeout: Duration::from_secs(2),
};

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn answer(session: u64, call: u64, reply: Option<LedgerReply>) -> AgentReply {
    AgentReply {
        session,
        call,
        reply,
    }
}

#[test]
fn calls_share_a_message_after_a_short_wait_or_when_it_is_full() {
    let mut router = LedgerRouter::new(LIMITS);
    router.add(1, 10, claim(1), milliseconds(5)).expect("room");
    assert_eq!(router.due_at(), Some(milliseconds(7)));
    router.add(2, 20, claim(2), milliseconds(6)).expect("room");
    router.add(1, 11, claim(3), milliseconds(6)).expect("room");
    assert_eq!(router.due_at(), Some(milliseconds(5)), "the batch is full");
    router.add(1, 12, claim(4), milliseconds(6)).expect("room");
    let batch = router.take_batch(1);
    assert_eq!(batch.len(), 3);
    let reply = router.answered(batch[1].0, LedgerReply::Recorded);
    assert_eq!(reply, Some(answer(2, 20, Some(LedgerReply::Recorded))));
    assert_eq!(router.answered(batch[1].0, LedgerReply::Recorded), None);
    assert_eq!(router.take_batch(1).len(), 1);
}

#[test]
fn too_many_calls_are_refused() {
    let mut router = LedgerRouter::new(LIMITS);
    for call in 0..5 {
        router
            .add(1, call, claim(call), milliseconds(0))
            .expect("room");
    }
    assert_eq!(router.add(1, 9, claim(9), milliseconds(0)), Err(Refused));
    for call in 0..3 {
        router
            .add(2, call, claim(call), milliseconds(0))
            .expect("room");
    }
    assert_eq!(router.add(3, 9, claim(9), milliseconds(0)), Err(Refused));
    router.session_ended(1);
    assert_eq!(router.add(1, 9, claim(9), milliseconds(0)), Ok(()));
}

#[test]
fn a_call_whose_connection_to_control_ends_is_not_sent_again() {
    let mut router = LedgerRouter::new(LIMITS);
    router.add(1, 10, claim(1), milliseconds(0)).expect("room");
    let batch = router.take_batch(1);
    router.add(1, 11, claim(2), milliseconds(0)).expect("room");
    assert_eq!(router.link_ended(1), [answer(1, 10, None)]);
    let next = router.take_batch(2);
    assert_eq!(next.len(), 1, "only the call that was never sent");
    assert_ne!(next[0].0, batch[0].0);
}

#[test]
fn calls_are_given_up_in_time_whether_sent_or_not() {
    let mut router = LedgerRouter::new(LIMITS);
    router.add(1, 10, claim(1), milliseconds(0)).expect("room");
    router.take_batch(1);
    router
        .add(1, 11, claim(2), milliseconds(100))
        .expect("room");
    assert!(router.expire(milliseconds(1_999)).is_empty());
    assert_eq!(router.expire(milliseconds(2_000)), [answer(1, 10, None)]);
    assert_eq!(router.expire(milliseconds(2_100)), [answer(1, 11, None)]);
    assert_eq!(router.open_calls(), 0);
    assert_eq!(router.due_at(), None);
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Add(u64),
    Take(u64),
    Answer(usize),
    LinkEnds(u64),
    SessionEnds(u64),
    Expire(u64),
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        4 => (0..3u64).prop_map(Call::Add),
        2 => (0..2u64).prop_map(Call::Take),
        3 => (0..20usize).prop_map(Call::Answer),
        1 => (0..2u64).prop_map(Call::LinkEnds),
        1 => (0..3u64).prop_map(Call::SessionEnds),
        1 => (0..1_000u64).prop_map(Call::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x1ed9e2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every call that was taken is sent at most once and answered at most once, and each accepted
    /// call of a session that stays is answered.
    #[test]
    fn each_call_is_sent_and_answered_at_most_once(
        calls in prop::collection::vec(call(), 1..100),
    ) {
        let mut router = LedgerRouter::new(LIMITS);
        let mut now = Duration::ZERO;
        let mut last_call = 0;
        let mut open = std::collections::BTreeSet::new();
        let mut sent = Vec::new();
        for call in calls {
            let mut replies = Vec::new();
            match call {
                Call::Add(session) => {
                    last_call += 1;
                    if router.add(session, last_call, claim(last_call), now).is_ok() {
                        open.insert((session, last_call));
                    }
                }
                Call::Take(link) => {
                    for (number, _) in router.take_batch(link) {
                        prop_assert!(!sent.contains(&number), "{number} was sent twice");
                        sent.push(number);
                    }
                }
                Call::Answer(which) => {
                    if let Some(number) = sent.get(which) {
                        replies.extend(router.answered(*number, LedgerReply::Recorded));
                    }
                }
                Call::LinkEnds(link) => replies = router.link_ended(link),
                Call::SessionEnds(session) => {
                    router.session_ended(session);
                    open.retain(|(of, _)| *of != session);
                }
                Call::Expire(by) => {
                    now += milliseconds(by);
                    replies = router.expire(now);
                }
            }
            for reply in replies {
                prop_assert!(open.remove(&(reply.session, reply.call)), "{reply:?} twice");
            }
            prop_assert_eq!(router.open_calls(), open.len());
        }
        router.expire(now + LIMITS.timeout);
        prop_assert_eq!(router.open_calls(), 0);
    }
}

#[test]
fn a_draining_word_goes_up_once_and_other_words_once_an_agent() {
    let mut queue = ObservationQueue::new(milliseconds(50));
    let mut unreachable = draining("depot-2", "stock.Search", 1);
    unreachable.kind = ObservationKind::Unreachable;
    for agent in ["agent-1", "agent-2", "agent-3"] {
        let word = draining("depot-1", "stock.Search", 1);
        queue.add(&agent.into(), word, milliseconds(0));
        queue.add(&agent.into(), unreachable.clone(), milliseconds(0));
        queue.add(&agent.into(), unreachable.clone(), milliseconds(0));
    }
    assert_eq!(queue.take(milliseconds(0)).len(), 4);
    assert_eq!(queue.due_at(), None);
    let again = draining("depot-1", "stock.Search", 1);
    queue.add(&"agent-1".into(), again, milliseconds(3_000));
    assert_eq!(queue.take(milliseconds(3_000)).len(), 1, "it may be lost");
}

#[test]
fn a_hint_ends_when_control_has_answered_it() {
    let mut state = RelayState::default();
    state.apply(full_state(1, &["stock.Search"]));
    let mut board = HintBoard::new(milliseconds(10_000));
    let word = draining("stock.Search-backend", "stock.Search", 1);
    let now = milliseconds(0);
    assert!(board.offer(&word, &state, now));
    assert!(!board.offer(&word, &state, now), "said already");
    let unknown = draining("depot-9", "stock.Search", 1);
    assert!(!board.offer(&unknown, &state, now));
    let interest = Interest::new(["stock.Search".into()].into());
    let other = Interest::new(["stock.Reserve".into()].into());
    assert_eq!(board.for_interest(&interest).len(), 1);
    assert!(board.for_interest(&other).is_empty());
    let mut whole = full_state(2, &["stock.Search"]);
    let leaving = record(
        "stock.Search-backend",
        "stock.Search",
        1,
        BackendState::Leaving,
    );
    whole.backends.insert(leaving.id.clone(), Some(leaving));
    state.apply(whole);
    board.prune(&state, now);
    assert!(board.for_interest(&interest).is_empty());
}

fn replica(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn choice() -> ControlChoice {
    let replicas = vec![replica(1), replica(2), replica(3)];
    ControlChoice::new(replicas, milliseconds(20), milliseconds(1_000), 5)
}

#[test]
fn replicas_are_tried_in_turn_with_growing_waits() {
    let mut choice = choice();
    let mut waits = Vec::new();
    for round in 0..12 {
        let expected = replica(1 + round % 3);
        assert_eq!(choice.next_replica(), Some(expected));
        waits.push(choice.ended(LinkEnd::Failed));
    }
    assert!(waits[0] >= milliseconds(10) && waits[0] <= milliseconds(20));
    assert!(waits[11] >= milliseconds(500) && waits[11] <= milliseconds(1_000));
}

#[test]
fn a_named_leader_is_tried_at_once_but_not_in_a_circle() {
    let mut choice = choice();
    assert_eq!(choice.next_replica(), Some(replica(1)));
    let named = LinkEnd::LeaderIs(replica(9));
    assert_eq!(choice.ended(named), Duration::ZERO);
    assert_eq!(choice.next_replica(), Some(replica(9)));
    assert_eq!(choice.ended(LinkEnd::LeaderIs(replica(1))), Duration::ZERO);
    assert_eq!(choice.next_replica(), Some(replica(1)));
    assert!(choice.ended(named) > Duration::ZERO, "two name each other");
    assert_eq!(choice.next_replica(), Some(replica(9)));
    choice.leads();
    assert_eq!(choice.ended(LinkEnd::LeaderIs(replica(2))), Duration::ZERO);
}
