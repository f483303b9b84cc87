//! The choice of the relay, as a pure state machine.

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
const FRESH: LeaseHealth = LeaseHealth {
    remaining: Duration::from_millis(2_900),
    duration: Duration::from_millis(3_000),
};
const HALF_GONE: LeaseHealth = LeaseHealth {
    remaining: Duration::from_millis(1_400),
    duration: Duration::from_millis(3_000),
};

fn milliseconds(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn supervisor(relays: usize) -> Supervisor {
    Supervisor::new(relays, SETTINGS, 7)
}

fn opened(actions: &[Action]) -> (SessionId, usize) {
    match actions {
        [Action::Open { session, relay }] => (*session, *relay),
        other => panic!("expected one session to be opened: {other:?}"),
    }
}

/// A supervisor with an active session on its first relay, since time 0.
fn on_first_relay(relays: usize) -> (Supervisor, SessionId) {
    let mut supervisor = supervisor(relays);
    let (session, relay) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 0);
    let actions = supervisor.connected(session, Duration::ZERO);
    assert_eq!(actions, [Action::Activate(session)]);
    supervisor.lease_renewed(session, Duration::ZERO);
    (supervisor, session)
}

#[test]
fn the_nearest_relay_is_first_and_a_failed_one_is_left_alone() {
    let mut supervisor = supervisor(2);
    let (first, relay) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 0);
    assert!(supervisor.ended(first, Duration::ZERO).is_empty());
    let (second, relay) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 1);
    supervisor.ended(second, Duration::ZERO);
    assert!(supervisor.tick(Duration::ZERO, NO_LEASE).is_empty());
    let (_, relay) = opened(&supervisor.tick(milliseconds(100), NO_LEASE));
    assert_eq!(relay, 0);
}

#[test]
fn a_relay_that_does_not_renew_the_lease_is_left_before_it_runs_out() {
    let (mut supervisor, active) = on_first_relay(2);
    let now = milliseconds(2_000);
    assert!(supervisor.tick(now, FRESH).is_empty());
    let (candidate, relay) = opened(&supervisor.tick(now, HALF_GONE));
    assert_eq!(relay, 1);
    assert!(supervisor.connected(candidate, now).is_empty());
    let actions = supervisor.lease_renewed(candidate, now);
    assert_eq!(
        actions,
        [Action::Activate(candidate), Action::Close(active)]
    );
}

#[test]
fn the_active_relay_is_kept_while_no_other_can_renew_the_lease_either() {
    let (mut supervisor, _) = on_first_relay(2);
    let now = milliseconds(2_000);
    let (candidate, _) = opened(&supervisor.tick(now, HALF_GONE));
    supervisor.connected(candidate, now);
    let later = now + SETTINGS.lease_wait;
    assert_eq!(supervisor.tick(later, NO_LEASE), [Action::Close(candidate)]);
    let retry_at = supervisor.wake_at(later, NO_LEASE).expect("a retry");
    assert!(retry_at > later, "the next attempt waits");
}

#[test]
fn a_relay_that_was_too_slow_gets_more_time_the_next_time() {
    let mut supervisor = supervisor(1);
    let (first, _) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
    let now = SETTINGS.lease_wait;
    assert_eq!(supervisor.tick(now, NO_LEASE), [Action::Close(first)]);
    let now = now + SETTINGS.retry.minimum;
    opened(&supervisor.tick(now, NO_LEASE));
    let limit = supervisor.wake_at(now, NO_LEASE).expect("a limit");
    assert_eq!(limit, now + 2 * SETTINGS.lease_wait);
}

#[test]
fn a_renewal_by_the_active_relay_ends_the_search() {
    let (mut supervisor, active) = on_first_relay(2);
    let now = milliseconds(2_000);
    let (candidate, _) = opened(&supervisor.tick(now, HALF_GONE));
    let actions = supervisor.lease_renewed(active, now);
    assert_eq!(actions, [Action::Close(candidate)]);
}

#[test]
fn a_relay_that_goes_away_is_kept_until_another_is_connected_and_then_drained() {
    let (mut supervisor, active) = on_first_relay(2);
    let now = milliseconds(100);
    assert!(supervisor.go_away(active, now).is_empty());
    let (candidate, relay) = opened(&supervisor.tick(now, FRESH));
    assert_eq!(relay, 1);
    let actions = supervisor.connected(candidate, now);
    assert_eq!(
        actions,
        [Action::Activate(candidate), Action::Drain(active)]
    );
}

#[test]
fn a_lost_relay_is_replaced_after_a_random_wait() {
    let waits: BTreeSet<Duration> = (0..20)
        .map(|seed| {
            let mut supervisor = Supervisor::new(3, SETTINGS, seed);
            let (session, _) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
            supervisor.connected(session, Duration::ZERO);
            supervisor.ended(session, Duration::ZERO);
            supervisor.wake_at(Duration::ZERO, FRESH).expect("a wait")
        })
        .collect();
    assert!(waits.len() > 10, "the waits are spread: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= SETTINGS.failover_jitter));
}

#[test]
fn an_agent_returns_to_a_nearer_relay_without_losing_calls() {
    let mut supervisor = supervisor(2);
    let (first, _) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
    supervisor.ended(first, Duration::ZERO);
    let (far, relay) = opened(&supervisor.tick(Duration::ZERO, NO_LEASE));
    assert_eq!(relay, 1);
    supervisor.connected(far, Duration::ZERO);
    let later = Duration::from_secs(60);
    let (near, relay) = opened(&supervisor.tick(later, FRESH));
    assert_eq!(relay, 0);
    supervisor.connected(near, later);
    let actions = supervisor.lease_renewed(near, later);
    assert_eq!(actions, [Action::Activate(near), Action::Drain(far)]);
}

#[test]
fn backoff_doubles_up_to_its_limit_and_ends_with_a_success() {
    let mut choice = RelaySelector::new(1, SETTINGS.retry, 3);
    let mut waits = Vec::new();
    for _ in 0..12 {
        choice.failed(0, Duration::ZERO);
        waits.push(choice.next_at(None).expect("one relay"));
    }
    assert!(waits[0] <= SETTINGS.retry.minimum);
    assert!(waits[4] > waits[0] * 4);
    assert!(waits.iter().all(|wait| *wait <= SETTINGS.retry.maximum));
    choice.succeeded(0);
    assert_eq!(choice.next(Duration::ZERO, None), Some(0));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Connected(u64),
    Renewed(u64),
    GoAway(u64),
    Ended(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..3_000).prop_map(Step::Pass),
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

    /// In any run of events: at most three sessions are open (active, candidate, and none is
    /// forgotten), at most one is active, and after a tick the next one lies in the future.
    #[test]
    fn any_run_of_events_keeps_few_sessions_and_never_spins(
        relays in 1usize..4,
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut supervisor = Supervisor::new(relays, SETTINGS, seed);
        let mut now = Duration::ZERO;
        let mut renewed_at: Option<Duration> = None;
        let mut last_session = 0;
        let mut open: BTreeSet<SessionId> = BTreeSet::new();
        for step in steps {
            let mut actions = match step {
                Step::Pass(by) => { now += milliseconds(by); Vec::new() }
                Step::Connected(back) => supervisor.connected(last_session - back.min(last_session), now),
                Step::Renewed(back) => {
                    renewed_at = Some(now);
                    supervisor.lease_renewed(last_session - back.min(last_session), now)
                }
                Step::GoAway(back) => supervisor.go_away(last_session - back.min(last_session), now),
                Step::Ended(back) => {
                    let session = last_session - back.min(last_session);
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
                        prop_assert!(session > last_session);
                        last_session = session;
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
