//! Tests of the state machine that decides which relay the agent uses, and of the relay selector.

use std::{collections::BTreeSet, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_subscription::{
    Action, LeaseHealth, RelaySelector, RetrySettings, SessionId, Supervisor, SupervisorSettings,
};

const SETTINGS: SupervisorSettings = SupervisorSettings {
    lease_wait: Duration::from_millis(700),
    failover_jitter: Duration::from_millis(200),
    return_interval: Duration::from_secs(60),
    retry: RetrySettings {
        minimum: Duration::from_millis(100),
        maximum: Duration::from_secs(10),
    },
};
const NO_LEASE: LeaseHealth = LeaseHealth {
    remaining: Duration::ZERO,
    duration: Duration::ZERO,
};
const FRESH_LEASE: LeaseHealth = LeaseHealth {
    remaining: Duration::from_millis(2_900),
    duration: Duration::from_millis(3_000),
};
const HALF_EXPIRED_LEASE: LeaseHealth = LeaseHealth {
    remaining: Duration::from_millis(1_400),
    duration: Duration::from_millis(3_000),
};

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn supervisor(relays: usize) -> Supervisor {
    Supervisor::new(relays, SETTINGS, 7)
}

fn expect_open(actions: &[Action]) -> (SessionId, usize) {
    match actions {
        [Action::Open { session, relay }] => (*session, *relay),
        other => panic!("expected one session to be opened, got {other:?}"),
    }
}

/// Returns a supervisor whose session with the first relay has been active since time 0, and that
/// session.
fn connected_to_first_relay(relays: usize) -> (Supervisor, SessionId) {
    let mut supervisor = supervisor(relays);
    let (session, relay) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 0);
    let actions = supervisor.connected(session, Duration::ZERO);
    assert_eq!(actions, [Action::Activate(session)]);
    supervisor.lease_renewed(session, Duration::ZERO);
    (supervisor, session)
}

#[test]
fn the_nearest_relay_is_tried_first_and_a_failed_one_only_after_a_delay() {
    let mut supervisor = supervisor(2);
    let (first, relay) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 0);
    assert!(supervisor.ended(first, Duration::ZERO).is_empty());
    let (second, relay) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 1);
    supervisor.ended(second, Duration::ZERO);
    assert!(supervisor.tick(Duration::ZERO, NO_LEASE).is_empty());
    let (_, relay) = expect_open(&supervisor.tick(milliseconds(100), NO_LEASE));
    assert_eq!(relay, 0);
}

#[test]
fn a_relay_that_does_not_renew_the_lease_is_replaced_before_the_lease_expires() {
    let (mut supervisor, active) = connected_to_first_relay(2);
    let now = milliseconds(2_000);
    assert!(supervisor.tick(now, FRESH_LEASE).is_empty());
    let (candidate, relay) = expect_open(&supervisor.tick(now, HALF_EXPIRED_LEASE));
    assert_eq!(relay, 1);
    assert!(supervisor.connected(candidate, now).is_empty());
    let actions = supervisor.lease_renewed(candidate, now);
    assert_eq!(
        actions,
        [Action::Activate(candidate), Action::Close(active)]
    );
}

#[test]
fn the_active_relay_is_kept_while_no_other_relay_can_renew_the_lease() {
    let (mut supervisor, _) = connected_to_first_relay(2);
    let now = milliseconds(2_000);
    let (candidate, _) = expect_open(&supervisor.tick(now, HALF_EXPIRED_LEASE));
    supervisor.connected(candidate, now);
    let later = now + SETTINGS.lease_wait;
    assert_eq!(supervisor.tick(later, NO_LEASE), [Action::Close(candidate)]);
    let retry_at = supervisor
        .wake_at(later, NO_LEASE)
        .expect("a retry is scheduled");
    assert!(retry_at > later, "the next attempt is delayed");
}

#[test]
fn a_relay_that_was_too_slow_gets_more_time_at_the_next_attempt() {
    let mut supervisor = supervisor(1);
    let (first, _) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
    let now = SETTINGS.lease_wait;
    assert_eq!(supervisor.tick(now, NO_LEASE), [Action::Close(first)]);
    let now = now + SETTINGS.retry.minimum;
    expect_open(&supervisor.tick(now, NO_LEASE));
    let limit = supervisor
        .wake_at(now, NO_LEASE)
        .expect("a time limit is set");
    assert_eq!(limit, now + 2 * SETTINGS.lease_wait);
}

#[test]
fn a_renewal_by_the_active_relay_closes_the_candidate() {
    let (mut supervisor, active) = connected_to_first_relay(2);
    let now = milliseconds(2_000);
    let (candidate, _) = expect_open(&supervisor.tick(now, HALF_EXPIRED_LEASE));
    let actions = supervisor.lease_renewed(active, now);
    assert_eq!(actions, [Action::Close(candidate)]);
}

#[test]
fn a_stopping_relay_is_kept_until_another_is_connected_and_then_drained() {
    let (mut supervisor, active) = connected_to_first_relay(2);
    let now = milliseconds(100);
    assert!(supervisor.go_away(active, now).is_empty());
    let (candidate, relay) = expect_open(&supervisor.tick(now, FRESH_LEASE));
    assert_eq!(relay, 1);
    let actions = supervisor.connected(candidate, now);
    assert_eq!(
        actions,
        [Action::Activate(candidate), Action::Drain(active)]
    );
}

#[test]
fn a_lost_relay_is_replaced_after_a_random_delay() {
    let delays: BTreeSet<Duration> = (0..20)
        .map(|seed| {
            let mut supervisor = Supervisor::new(3, SETTINGS, seed);
            let (session, _) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
            supervisor.connected(session, Duration::ZERO);
            supervisor.ended(session, Duration::ZERO);
            supervisor
                .wake_at(Duration::ZERO, FRESH_LEASE)
                .expect("an attempt is scheduled")
        })
        .collect();
    assert!(delays.len() > 10, "the delays are spread: {delays:?}");
    assert!(
        delays
            .iter()
            .all(|delay| *delay <= SETTINGS.failover_jitter)
    );
}

#[test]
fn an_agent_returns_to_a_nearer_relay_and_drains_the_previous_session() {
    let mut supervisor = supervisor(2);
    let (first, _) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
    supervisor.ended(first, Duration::ZERO);
    let (far, relay) = expect_open(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 1);
    supervisor.connected(far, Duration::ZERO);
    let later = Duration::from_secs(60);
    let (near, relay) = expect_open(&supervisor.tick(later, FRESH_LEASE));
    assert_eq!(relay, 0);
    supervisor.connected(near, later);
    let actions = supervisor.lease_renewed(near, later);
    assert_eq!(actions, [Action::Activate(near), Action::Drain(far)]);
}

#[test]
fn backoff_doubles_up_to_its_maximum_and_is_reset_by_a_success() {
    let mut selector = RelaySelector::new(1, SETTINGS.retry, 3);
    let mut delays = Vec::new();
    for _ in 0..12 {
        selector.record_failure(0, Duration::ZERO);
        delays.push(selector.next_retry_at(None).expect("one relay"));
    }
    assert!(delays[0] <= SETTINGS.retry.minimum);
    assert!(delays[4] > delays[0] * 4);
    assert!(delays.iter().all(|delay| *delay <= SETTINGS.retry.maximum));
    selector.record_success(0);
    assert_eq!(selector.next_relay(Duration::ZERO, None), Some(0));
}

/// A step of an event sequence. The number is the time in milliseconds for `Advance`. For the other
/// steps it selects the session: 0 for the last one that was opened, 1 for the one before, and so on.
#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u64),
    Connected(u64),
    Renewed(u64),
    GoAway(u64),
    Ended(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..3_000).prop_map(Step::Advance),
        2 => (0u64..3).prop_map(Step::Connected),
        2 => (0u64..3).prop_map(Step::Renewed),
        1 => (0u64..3).prop_map(Step::GoAway),
        1 => (0u64..3).prop_map(Step::Ended),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e1ec7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of events, at most two sessions are open, the active one and the candidate;
    /// only open sessions are drained or closed; and the next tick is scheduled for a later time.
    #[test]
    fn any_event_sequence_opens_at_most_two_sessions_and_never_busy_loops(
        relays in 1usize..4,
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut supervisor = Supervisor::new(relays, SETTINGS, seed);
        let mut now = Duration::ZERO;
        let mut renewed_at: Option<Duration> = None;
        let mut last_session_id = 0;
        let mut open: BTreeSet<SessionId> = BTreeSet::new();
        for step in steps {
            let mut actions = match step {
                Step::Advance(by_ms) => { now += milliseconds(by_ms); Vec::new() }
                Step::Connected(offset) => supervisor.connected(last_session_id - offset.min(last_session_id), now),
                Step::Renewed(offset) => {
                    renewed_at = Some(now);
                    supervisor.lease_renewed(last_session_id - offset.min(last_session_id), now)
                }
                Step::GoAway(offset) => supervisor.go_away(last_session_id - offset.min(last_session_id), now),
                Step::Ended(offset) => {
                    let session = last_session_id - offset.min(last_session_id);
                    open.remove(&session);
                    supervisor.ended(session, now)
                }
            };
            let lease = LeaseHealth {
                remaining: renewed_at.map_or(Duration::ZERO, |at| (at + milliseconds(3_000)).saturating_sub(now)),
                duration: renewed_at.map_or(Duration::ZERO, |_| milliseconds(3_000)),
            };
            actions.extend(supervisor.tick(now, lease));
            for action in actions {
                match action {
                    Action::Open { session, relay } => {
                        prop_assert!(relay < relays);
                        prop_assert!(session > last_session_id);
                        last_session_id = session;
                        open.insert(session);
                    }
                    Action::Activate(_) => {}
                    Action::Drain(session) | Action::Close(session) => {
                        prop_assert!(open.remove(&session), "{session} was open");
                    }
                }
            }
            prop_assert!(open.len() <= 2, "{open:?}");
            if let Some(wake_at) = supervisor.wake_at(now, lease) {
                prop_assert!(wake_at > now, "{wake_at:?} is not after {now:?}");
            }
        }
    }
}
