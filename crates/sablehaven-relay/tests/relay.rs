//! Tests of a relay between scripted control replicas and agents, connected over loopback.

mod support;

use std::time::Duration;

use sablehaven_subscription::Subscription;
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{AgentId, BackendState, ClaimAnswer, LedgerReply, SchemaSource};
use sablehaven_wire::{
    AgentStatus, AgentToRelay, ControlToRelay, RelayToAgent, RelayToControl, Role, StateUpdate,
    WireError, connect,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use support::{
    AgentConnection, address, changes, claim, connect_raw, control_double::ControlDouble, draining,
    full_state, hello, receive, relay_config, start_relay, subscribe, wait_until,
    wait_until_current_at,
};

const SEARCH: &str = "stock.Search";
const RESERVE: &str = "stock.Reserve";
const CALL_TIMEOUT: Duration = Duration::from_secs(3_600);
const GRANTED: LedgerReply = LedgerReply::Claim(ClaimAnswer::Granted);

async fn start_control(revision: u64) -> ControlDouble {
    ControlDouble::start(full_state(revision, &[SEARCH, RESERVE])).await
}

/// The last status of the agent that the replica received, if any.
fn last_status(control: &ControlDouble, agent: &str) -> Option<Option<AgentStatus>> {
    let agent = AgentId::from(agent);
    let script = control.script();
    let mut statuses = script.received.iter().filter_map(|message| match message {
        RelayToControl::Agents(statuses) => statuses.get(&agent).cloned(),
        _ => None,
    });
    statuses.next_back()
}

fn ledger_calls(control: &ControlDouble) -> usize {
    let script = control.script();
    let batches = script.received.iter().map(|message| match message {
        RelayToControl::Ledger(calls) => calls.len(),
        _ => 0,
    });
    batches.sum()
}

fn call_in_background(subscription: &Subscription) -> tokio::task::JoinHandle<LedgerReply> {
    let caller = subscription.clone();
    tokio::spawn(async move { caller.ledger(claim(1), CALL_TIMEOUT).await })
}

#[tokio::test]
async fn a_change_reaches_agents_and_their_acknowledgements_reach_control() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let agent = subscribe("agent-1", &[&relay], &[SEARCH]);
    wait_until_current_at(&agent, 10).await;
    let revision = control.commit(changes(SEARCH, 2));
    wait_until_current_at(&agent, revision).await;
    wait_until("control receives the acknowledgement", || {
        last_status(&control, "agent-1")
            .flatten()
            .is_some_and(|status| {
                status.configuration_version == revision && status.lease_age_ms < 3_000
            })
    })
    .await;
    agent.stop().await;
    wait_until("control learns that the agent has left", || {
        last_status(&control, "agent-1") == Some(None)
    })
    .await;
}

#[tokio::test]
async fn agents_get_only_their_services_and_equal_interests_share_the_encoding() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let searching: Vec<_> = (0..10)
        .map(|number| subscribe(&format!("search-{number}"), &[&relay], &[SEARCH]))
        .collect();
    let reserving = subscribe("reserve", &[&relay], &[RESERVE]);
    for agent in searching.iter().chain([&reserving]) {
        wait_until_current_at(agent, 10).await;
    }
    let encoded = relay.metrics().encoded_updates.get();
    assert!(encoded <= 2, "{encoded} encodings for two interests");
    let revision = control.commit(changes(SEARCH, 2));
    for agent in searching.iter().chain([&reserving]) {
        wait_until_current_at(agent, revision).await;
    }
    let encoded = relay.metrics().encoded_updates.get() - encoded;
    assert_eq!(encoded, 2, "one encoding for each interest");
    let view = reserving.view();
    assert_eq!(view.services.keys().collect::<Vec<_>>(), [&RESERVE.into()]);
    assert_eq!(view.backends.keys().collect::<Vec<_>>(), [&RESERVE.into()]);
    assert_eq!(
        searching[0].view().services[&SEARCH.into()]
            .snapshot
            .id
            .generation,
        2
    );
}

#[tokio::test]
async fn an_agent_that_starts_after_hundreds_of_changes_gets_one_update() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let early = subscribe("early", &[&relay], &[]);
    wait_until_current_at(&early, 10).await;
    let mut revision = 0;
    for generation in 0..400 {
        revision = control.commit(changes(SEARCH, generation));
    }
    wait_until_current_at(&early, revision).await;
    let late = subscribe("late", &[&relay], &[]);
    wait_until_current_at(&late, revision).await;
    assert_eq!(late.metrics().updates.get(), 1);
    assert_eq!(late.metrics().full_updates.get(), 1);
    assert_eq!(*late.view(), *early.view());
}

#[tokio::test]
async fn a_restarted_relay_with_older_state_does_not_revert_the_agents() {
    let control = start_control(10).await;
    let lagging = start_control(5).await;
    lagging.script().leads = false;
    let relay = start_relay(relay_config(&[&control])).await;
    let mut restarted = relay_config(&[&lagging]);
    restarted.lease_timeout_ms = 50_000;
    let restarted = start_relay(restarted).await;
    let agent = subscribe("agent-1", &[&relay, &restarted], &[]);
    wait_until_current_at(&agent, 10).await;
    wait_until("the lagging relay has its state", || {
        restarted.metrics().revision.get() == 5
    })
    .await;
    relay.stop().await;
    wait_until("the agent has moved", || {
        restarted.metrics().agents.get() == 1
    })
    .await;
    for _ in 5..10 {
        lagging.commit(changes(SEARCH, 77));
    }
    wait_until("the relay has caught up", || {
        restarted.metrics().revision.get() == 10
    })
    .await;
    assert_eq!(agent.view().revision, 10);
    lagging.commit(changes(SEARCH, 78));
    wait_until("the agent has the next revision", || {
        agent.view().revision == 11
    })
    .await;
    assert_eq!(agent.metrics().updates.get(), 2);
}

#[tokio::test]
async fn a_relay_cut_off_from_control_stops_granting_leases_and_its_agents_move() {
    let cut = start_control(10).await;
    let healthy = start_control(10).await;
    let mut near_config = relay_config(&[&cut]);
    near_config.lease_timeout_ms = 50_000;
    let telemetry = Telemetry::new("relay");
    let near = sablehaven_relay::start(near_config, telemetry.clone());
    let near = near.await.expect("start");
    let far = start_relay(relay_config(&[&healthy])).await;
    let agent = subscribe("agent-1", &[&near, &far], &[]);
    wait_until_current_at(&agent, 10).await;
    wait_until("the near relay is ready", || telemetry.is_ready()).await;
    cut.script().frozen = true;
    wait_until("the agent moves", || {
        agent.metrics().relay_changes.get() == 2
    })
    .await;
    let revision = healthy.commit(changes(SEARCH, 2));
    wait_until_current_at(&agent, revision).await;
    wait_until("the near relay is no longer ready", || {
        !telemetry.is_ready()
    })
    .await;
    let granted = near.metrics().leases.get();
    let lease_request = AgentToRelay::RequestLease { nonce: 1 };
    let mut raw = connect_raw(&near, "raw", revision).await;
    raw.writer.send(&lease_request).await.expect("request");
    let lease_threshold = far.metrics().leases.get() + 20;
    wait_until("the far relay keeps granting leases", || {
        far.metrics().leases.get() > lease_threshold
    })
    .await;
    assert_eq!(near.metrics().leases.get(), granted);
}

#[tokio::test]
async fn a_silent_control_replica_is_replaced_by_another() {
    let cut = start_control(10).await;
    let healthy = start_control(10).await;
    let mut config = relay_config(&[&cut, &healthy]);
    config.lease_timeout_ms = 500;
    let relay = start_relay(config).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    cut.script().frozen = true;
    let revision = healthy.commit(changes(SEARCH, 2));
    wait_until_current_at(&agent, revision).await;
}

#[tokio::test]
async fn an_agent_is_not_current_while_its_relays_are_cut_off_from_control() {
    let control = start_control(10).await;
    control.script().lease_ms = 400;
    let relay = start_relay(relay_config(&[&control])).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    control.script().frozen = true;
    wait_until("the lease has expired", || !agent.lease().current).await;
    wait_until("the lease is current again", || {
        control.script().frozen = false;
        agent.lease().current
    })
    .await;
}

#[tokio::test]
async fn a_relay_follows_the_leader() {
    let follower = start_control(10).await;
    let leader = start_control(10).await;
    follower.script().leads = false;
    follower.script().leader = Some(leader.address);
    let relay = start_relay(relay_config(&[&follower])).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    let revision = leader.commit(changes(SEARCH, 2));
    wait_until_current_at(&agent, revision).await;
    // Leadership moves back, and the other replica must receive the statuses of the relay's agents.
    follower.script().state = leader.script().state.clone();
    follower.script().leads = true;
    leader.script().leads = false;
    leader.script().leader = Some(follower.address);
    wait_until("the new leader receives the status of the agent", || {
        last_status(&follower, "agent-1").flatten().is_some()
    })
    .await;
    let revision = follower.commit(changes(SEARCH, 3));
    wait_until_current_at(&agent, revision).await;
}

#[tokio::test]
async fn a_lease_request_waits_for_the_first_proof() {
    let control = start_control(10).await;
    control.script().leads = false;
    let relay = start_relay(relay_config(&[&control])).await;
    let mut agent = connect_raw(&relay, "raw", 0).await;
    let request = AgentToRelay::RequestLease { nonce: 7 };
    agent.writer.send(&request).await.expect("request");
    let first = receive(&mut agent).await;
    assert!(matches!(first, RelayToAgent::Update(_)), "{first:?}");
    control.script().leads = true;
    let grant = receive(&mut agent).await;
    assert!(matches!(grant, RelayToAgent::Lease(grant) if grant.nonce == 7));
}

#[tokio::test]
async fn a_relay_without_a_leader_still_sends_the_state_to_agents() {
    let follower = start_control(10).await;
    follower.script().leads = false;
    let relay = start_relay(relay_config(&[&follower])).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until("the agent has the state", || agent.view().revision == 10).await;
    assert!(!agent.lease().current);
}

#[tokio::test]
async fn after_losing_a_control_replica_a_relay_resumes_from_its_own_revision() {
    let first = start_control(10).await;
    let second = start_control(12).await;
    let relay = start_relay(relay_config(&[&first, &second])).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    first.kill().await;
    wait_until_current_at(&agent, 12).await;
    let is_resume =
        |message: &RelayToControl| matches!(message, RelayToControl::Watch { revision: 10, .. });
    assert!(second.script().received.iter().any(is_resume));
}

#[tokio::test]
async fn a_gap_in_the_updates_from_control_makes_the_relay_watch_again() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    control.script().state.revision = 14;
    let mut skipping = changes(SEARCH, 5);
    skipping.from_revision = 13;
    skipping.revision = 14;
    skipping.configuration_version = 14;
    control.send(ControlToRelay::Update(skipping));
    wait_until_current_at(&agent, 14).await;
}

#[tokio::test]
async fn ledger_calls_of_many_agents_share_messages() {
    let control = start_control(10).await;
    let mut config = relay_config(&[&control]);
    config.ledger_batch_delay_ms = 100;
    let relay = start_relay(config).await;
    let agents: Vec<_> = (0..20)
        .map(|number| subscribe(&format!("agent-{number}"), &[&relay], &[]))
        .collect();
    for agent in &agents {
        wait_until_current_at(agent, 10).await;
    }
    let calls: Vec<_> = agents.iter().map(call_in_background).collect();
    for call in calls {
        assert_eq!(call.await.expect("call"), GRANTED);
    }
    assert_eq!(ledger_calls(&control), 20);
    assert!(relay.metrics().ledger_batches.get() < 20);
}

#[tokio::test]
async fn a_ledger_call_to_a_lost_control_replica_is_unavailable_and_not_sent_again() {
    let first = start_control(10).await;
    let second = start_control(10).await;
    first.script().answers_ledger = false;
    let mut config = relay_config(&[&first, &second]);
    config.ledger_timeout_ms = CALL_TIMEOUT.as_millis() as u64;
    let relay = start_relay(config).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    let call = call_in_background(&agent);
    wait_until("the call arrives", || ledger_calls(&first) == 1).await;
    first.kill().await;
    wait_until("the call ends long before its timeout", || {
        call.is_finished()
    })
    .await;
    let reply = call.await.expect("call");
    assert!(
        matches!(reply, LedgerReply::Unavailable { .. }),
        "{reply:?}"
    );
    assert_eq!(agent.ledger(claim(2), CALL_TIMEOUT).await, GRANTED);
    assert_eq!(ledger_calls(&second), 1);
}

#[tokio::test]
async fn a_stopping_control_replica_still_answers_its_calls() {
    let first = start_control(10).await;
    let second = start_control(10).await;
    first.script().answers_ledger = false;
    let relay = start_relay(relay_config(&[&first, &second])).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    let call = call_in_background(&agent);
    wait_until("the call arrives", || ledger_calls(&first) == 1).await;
    first.send(ControlToRelay::GoAway);
    assert_eq!(agent.ledger(claim(2), CALL_TIMEOUT).await, GRANTED);
    assert_eq!(ledger_calls(&second), 1);
    first.send(ControlToRelay::Ledger(vec![(1, LedgerReply::Recorded)]));
    assert_eq!(call.await.expect("call"), LedgerReply::Recorded);
}

#[tokio::test]
async fn ledger_calls_without_a_leader_time_out() {
    let control = start_control(10).await;
    control.script().leads = false;
    let mut config = relay_config(&[&control]);
    config.ledger_timeout_ms = 100;
    let relay = start_relay(config).await;
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until("the agent has the state", || agent.view().revision == 10).await;
    let reply = agent.ledger(claim(1), CALL_TIMEOUT).await;
    assert!(
        matches!(reply, LedgerReply::Unavailable { .. }),
        "{reply:?}"
    );
    assert_eq!(ledger_calls(&control), 0);
}

/// An agent that does not read must not make the relay queue large updates for it.
#[tokio::test]
async fn a_slow_agent_skips_revisions_and_does_not_delay_others() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let fast = subscribe("fast", &[&relay], &[]);
    let mut slow = connect_raw(&relay, "slow", 0).await;
    wait_until_current_at(&fast, 10).await;
    let mut revision = 0;
    for round in 0..100 {
        let schema = SchemaSource {
            file_name: format!("schema-{round}.proto"),
            text: "x".repeat(256 * 1024),
        };
        revision = control.commit(StateUpdate {
            schema: Some(schema),
            ..StateUpdate::default()
        });
        wait_until("the fast agent has the revision", || {
            fast.view().revision == revision
        })
        .await;
    }
    let mut updates = 0;
    let mut reached = 0;
    while reached < revision {
        if let RelayToAgent::Update(update) = receive(&mut slow).await {
            assert!(update.full || update.from_revision == reached);
            reached = update.revision;
            updates += 1;
        }
    }
    assert!(updates < 60, "{updates} updates for 100 revisions");
}

#[tokio::test]
async fn an_agent_that_does_not_read_is_disconnected() {
    let control = start_control(10).await;
    let mut config = relay_config(&[&control]);
    config.agent_send_timeout_ms = 100;
    let relay = start_relay(config).await;
    let _slow = connect_raw(&relay, "slow", 0).await;
    wait_until("the agent is connected", || {
        relay.metrics().agents.get() == 1
    })
    .await;
    wait_until("the agent is disconnected", || {
        let schema = SchemaSource {
            file_name: "schema.proto".to_owned(),
            text: "x".repeat(1024 * 1024),
        };
        control.commit(StateUpdate {
            schema: Some(schema),
            ..StateUpdate::default()
        });
        relay.metrics().agents.get() == 0
    })
    .await;
    assert_eq!(relay.metrics().agent_errors.get(), 1);
}

#[tokio::test]
async fn a_draining_observation_reaches_other_agents_before_control_commits_it() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let observer = subscribe("observer", &[&relay], &[SEARCH]);
    let other = subscribe("other", &[&relay], &[SEARCH]);
    let elsewhere = subscribe("elsewhere", &[&relay], &[RESERVE]);
    for agent in [&observer, &other, &elsewhere] {
        wait_until_current_at(agent, 10).await;
    }
    let backend = format!("{SEARCH}-backend");
    observer.observe(draining(&backend, SEARCH, 1));
    let state_at = |agent: &Subscription| agent.view().backends[&SEARCH.into()][0].state;
    wait_until("the other agent receives the hint", || {
        state_at(&other) == BackendState::Leaving
    })
    .await;
    let late = subscribe("late", &[&relay], &[SEARCH]);
    wait_until("a new agent receives the hint", || {
        late.view().revision == 10 && state_at(&late) == BackendState::Leaving
    })
    .await;
    wait_until("control receives the observation", || {
        let is_report = |message: &RelayToControl| {
            matches!(message, RelayToControl::Observe { observations } if observations.len() == 1)
        };
        control.script().received.iter().any(is_report)
    })
    .await;
    assert_eq!(elsewhere.metrics().hints.get(), 0);
    assert_eq!(
        observer.metrics().hints.get(),
        1,
        "only its own observation"
    );
}

#[tokio::test]
async fn a_planned_stop_moves_the_agents_and_answers_the_calls_in_flight() {
    let control = start_control(10).await;
    control.script().answers_ledger = false;
    let near = start_relay(relay_config(&[&control])).await;
    let far = start_relay(relay_config(&[&control])).await;
    let agent = subscribe("agent-1", &[&near, &far], &[]);
    wait_until_current_at(&agent, 10).await;
    let call = call_in_background(&agent);
    wait_until("the call arrives", || ledger_calls(&control) == 1).await;
    let stopping = tokio::spawn(near.stop());
    wait_until("the agent has moved", || {
        agent.metrics().relay_changes.get() == 2
    })
    .await;
    control.send(ControlToRelay::Ledger(vec![(1, LedgerReply::Recorded)]));
    assert_eq!(call.await.expect("call"), LedgerReply::Recorded);
    stopping.await.expect("stop");
    let revision = control.commit(changes(SEARCH, 2));
    wait_until_current_at(&agent, revision).await;
    assert_eq!(agent.metrics().session_errors.get(), 0);
}

/// A metrics scraper that keeps its connection open must not delay the stop.
#[tokio::test]
async fn a_planned_stop_does_not_wait_for_idle_http_connections() {
    let control = start_control(10).await;
    let relay = start_relay(relay_config(&[&control])).await;
    let http = relay.addresses().http.expect("listening");
    let mut scraper = TcpStream::connect(http).await.expect("connect");
    let request = b"GET /metrics HTTP/1.1\r\nhost: relay\r\n\r\n";
    scraper.write_all(request).await.expect("request");
    let mut answer = vec![0; 1_024];
    let count = scraper.read(&mut answer).await.expect("answer");
    assert!(answer[..count].starts_with(b"HTTP/1.1 200 OK"));
    let mut unfinished = TcpStream::connect(http).await.expect("connect");
    unfinished
        .write_all(&request[..20])
        .await
        .expect("send half a request");
    // Without its own timeout, the stop would wait for that of the HTTP library, which is 30 s.
    let stopped = timeout(Duration::from_secs(20), relay.stop()).await;
    assert!(stopped.is_ok(), "the relay has not stopped");
}

#[tokio::test]
async fn one_proof_serves_all_agents() {
    let control = start_control(10).await;
    let mut config = relay_config(&[&control]);
    config.lease_interval_ms = 250;
    let relay = start_relay(config).await;
    let agents: Vec<_> = (0..30)
        .map(|number| subscribe(&format!("agent-{number}"), &[&relay], &[]))
        .collect();
    wait_until("500 leases are granted", || {
        relay.metrics().leases.get() >= 500
    })
    .await;
    let proofs = relay.metrics().proofs.get();
    assert!(proofs * 4 < 500, "{proofs} proofs for 500 leases");
    drop(agents);
}

#[tokio::test]
async fn agents_of_another_deployment_and_agents_over_the_limit_are_rejected() {
    let control = start_control(10).await;
    let mut config = relay_config(&[&control]);
    config.maximum_agents = 1;
    let relay = start_relay(config).await;
    let mut other_deployment = hello(Role::Agent);
    other_deployment.deployment = "tareas".to_owned();
    let rejected: Result<AgentConnection, _> =
        connect(address(&relay), &other_deployment, Role::Relay).await;
    assert!(matches!(rejected, Err(WireError::Refused { .. })));
    let agent = subscribe("agent-1", &[&relay], &[]);
    wait_until_current_at(&agent, 10).await;
    let second: Result<AgentConnection, _> =
        connect(address(&relay), &hello(Role::Agent), Role::Relay).await;
    assert!(second.is_err());
    assert_eq!(relay.metrics().agents_refused.get(), 1);
}

#[tokio::test]
async fn invalid_settings_are_reported_by_key() {
    let control = start_control(10).await;
    let mut config = relay_config(&[&control]);
    assert!(config.validate("relay").is_empty());
    config.control.clear();
    config.lease_timeout_ms = 1;
    let errors = config.validate("relay");
    let keys: Vec<_> = errors.iter().map(|error| error.key.as_str()).collect();
    assert_eq!(keys, ["relay.control", "relay.lease_timeout_ms"]);
}
