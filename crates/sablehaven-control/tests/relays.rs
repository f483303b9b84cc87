//! Relays' connections to control replicas: updates, leases, ledger calls, agent reports, observations and the
//! platform's list.

mod support;

use std::{collections::BTreeMap, time::Duration};

use sablehaven_control::operator::{ControlStatus, WaitReply, paths};
use sablehaven_types::{
    AgentId, ApplyOutcome, BackendRecord, BackendState, ClaimAnswer, ClaimId, LedgerKey,
    LedgerReply, LedgerRequest, Observation, ObservationKind, Placement, RecordedOutcome,
};
use sablehaven_wire::{AgentStatus, ControlToRelay, RelayToControl, StateUpdate};
use support::{Cluster, SERVICE, command, forwarder::Forwarder, relay::Relay, wait_for};

fn as_update(message: ControlToRelay) -> Option<StateUpdate> {
    match message {
        ControlToRelay::Update(update) => Some(update),
        _ => None,
    }
}

fn key(request: &str) -> LedgerKey {
    let now = std::time::SystemTime::now();
    let now = now
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock after the Unix epoch");
    LedgerKey {
        caller: "pantry".into(),
        request: request.into(),
        issued_at_ms: now.as_millis() as u64,
    }
}

fn claim(key: &LedgerKey, claim: u64) -> LedgerRequest {
    LedgerRequest::Claim {
        key: key.clone(),
        claim: ClaimId(claim),
        fingerprint: 1,
    }
}

fn agent_status(version: u64, lease_age_ms: u64) -> AgentStatus {
    AgentStatus {
        configuration_version: version,
        placement: Placement {
            region: "palermo".into(),
            zone: "palermo-a".into(),
        },
        interest: Default::default(),
        lease_age_ms,
    }
}

fn report(agents: &[(&str, Option<AgentStatus>)]) -> RelayToControl {
    let agents = agents
        .iter()
        .map(|(agent, status)| (AgentId::from(*agent), status.clone()));
    RelayToControl::Agents(agents.collect())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_relay_gets_the_full_state_then_deltas_and_never_an_earlier_revision() {
    let cluster = Cluster::start(3).await;
    let operator = cluster.operator();
    operator.apply(&command("c0", 0)).await;
    // Any replica serves updates.
    let follower = cluster.follower().await;
    let mut relay = Relay::connect(cluster.machines[follower].internal_address()).await;
    relay.watch(0).await;
    let full = relay.receive_matching(as_update).await;
    assert!(full.full && full.schema.is_some());
    assert_eq!(full.configuration_version, 1);
    operator.apply(&command("c1", 1)).await;
    let delta = relay.receive_matching(as_update).await;
    assert!(!delta.full && delta.schema.is_none(), "{delta:?}");
    assert_eq!(delta.from_revision, full.revision);
    assert_eq!(delta.configuration_version, 2);
    assert!(delta.services.contains_key(&SERVICE.into()));
    // A relay that is up to date with this replica, or ahead of it, gets no update.
    let mut ahead = Relay::connect(cluster.machines[follower].internal_address()).await;
    ahead.watch(delta.revision + 10).await;
    let reply = ahead.receive().await;
    assert!(
        matches!(reply, Some(ControlToRelay::NotLeader { .. })),
        "{reply:?}"
    );
    assert!(ahead.is_silent_for(Duration::from_millis(300)).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_the_leader_grants_leases_and_followers_name_it() {
    let cluster = Cluster::start(3).await;
    let operator = cluster.operator();
    operator.apply(&command("c0", 0)).await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    let grant = relay.request_lease(41).await.expect("a lease");
    assert_eq!((grant.nonce, grant.configuration_version), (41, 1));
    assert!(grant.revision > 0 && grant.duration_ms == 1_500);
    let mut relay = Relay::connect(cluster.machines[follower].internal_address()).await;
    relay.send(RelayToControl::RequestLease { nonce: 42 }).await;
    let reply = relay.receive().await;
    let leader_address = Some(cluster.machines[leader].internal_address());
    assert_eq!(
        reply,
        Some(ControlToRelay::NotLeader {
            leader: leader_address
        })
    );
}

/// Starts three replicas connected to each other through forwarders, one per direction.
async fn start_cluster_behind_forwarders() -> (Cluster, BTreeMap<(usize, usize), Forwarder>) {
    let mut cluster = Cluster::prepare(3).await;
    let mut forwarders = BTreeMap::new();
    for from in 0..3 {
        let mut peers = Vec::new();
        for to in (0..3).filter(|to| *to != from) {
            let forwarder = Forwarder::start(cluster.machines[to].internal_address()).await;
            peers.push(forwarder.address);
            forwarders.insert((from, to), forwarder);
        }
        cluster.machines[from].config.peers = peers;
    }
    cluster.start_all().await;
    cluster.leader().await;
    (cluster, forwarders)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silently_partitioned_leader_grants_no_lease_and_applies_no_command() {
    let (cluster, forwarders) = start_cluster_behind_forwarders().await;
    let operator = cluster.operator();
    operator.apply(&command("c0", 0)).await;
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    relay.request_lease(1).await.expect("a lease");
    let touches_leader = |(from, to): &(usize, usize)| *from == leader || *to == leader;
    for (_, forwarder) in forwarders.iter().filter(|(pair, _)| touches_leader(pair)) {
        forwarder.block();
    }
    // Requested after the partition began, so no quorum can confirm the leader and it must not grant a
    // lease.
    assert_eq!(relay.request_lease(2).await, None);
    let status_before = operator
        .try_status(cluster.machines[leader].http_address())
        .await
        .expect("a status");
    let next = wait_for("another leader", || async {
        let others = (0..3).filter(|number| *number != leader);
        for number in others {
            let status = operator
                .try_status(cluster.machines[number].http_address())
                .await?;
            if status.leader == Some(status.replica) {
                return Some(number);
            }
        }
        None
    })
    .await;
    let majority = support::operator::Operator::new(vec![cluster.machines[next].http_address()]);
    let outcome = majority.apply(&command("c1", 1)).await;
    assert_eq!(outcome, ApplyOutcome::Accepted { version: 2 });
    let status_after = operator
        .try_status(cluster.machines[leader].http_address())
        .await
        .expect("a status");
    assert_eq!(
        status_after.configuration_version,
        status_before.configuration_version
    );
    for forwarder in forwarders.values() {
        forwarder.unblock();
    }
    wait_for("the partitioned replica to catch up", || async {
        let status = operator
            .try_status(cluster.machines[leader].http_address())
            .await?;
        (status.configuration_version == 2).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_claim_is_granted_only_once_across_a_leader_change() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    let keys: Vec<LedgerKey> = (0..20).map(|number| key(&format!("r{number}"))).collect();
    for (number, key) in keys.iter().enumerate() {
        let reply = relay.call_ledger(claim(key, number as u64)).await;
        assert_eq!(reply, LedgerReply::Claim(ClaimAnswer::Granted));
    }
    let settled = LedgerRequest::Settle {
        key: keys[0].clone(),
        claim: ClaimId(0),
        outcome: RecordedOutcome::Done { body: vec![9] },
    };
    assert_eq!(relay.call_ledger(settled).await, LedgerReply::Recorded);
    cluster.machines[leader].kill().await;
    let next = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[next].internal_address()).await;
    for (number, key) in keys.iter().enumerate() {
        let other = relay.call_ledger(claim(key, 100 + number as u64)).await;
        let expected = match number {
            0 => ClaimAnswer::Settled(RecordedOutcome::Done { body: vec![9] }),
            _ => ClaimAnswer::Held,
        };
        assert_eq!(other, LedgerReply::Claim(expected));
    }
    let look_up: ClaimAnswer = cluster
        .operator()
        .call(reqwest::Method::POST, paths::LOOK_UP, Some(&keys[1]))
        .await;
    assert_eq!(look_up, ClaimAnswer::Held);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_follower_answers_ledger_calls_at_once_with_a_retry_time() {
    let cluster = Cluster::start(3).await;
    let follower = cluster.follower().await;
    let mut relay = Relay::connect(cluster.machines[follower].internal_address()).await;
    let reply = relay.call_ledger(claim(&key("r"), 1)).await;
    assert!(
        matches!(reply, LedgerReply::Unavailable { .. }),
        "{reply:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_answers_pending_ledger_calls_and_sends_go_away() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    relay.watch(0).await;
    relay.request_lease(1).await.expect("a lease");
    let mut calls = Vec::new();
    for number in 0..50 {
        calls.push((number, claim(&key(&format!("r{number}")), number)));
    }
    relay.send(RelayToControl::Ledger(calls)).await;
    let handle = cluster.machines[leader].handle.take().expect("running");
    let stopping = tokio::spawn(handle.stop());
    let mut answered = 0;
    let mut leaders_at_go_away = None;
    while let Some(message) = relay.receive().await {
        match message {
            ControlToRelay::Ledger(replies) => answered += replies.len(),
            ControlToRelay::GoAway => leaders_at_go_away = Some(count_leaders(&cluster).await),
            _ => {}
        }
    }
    stopping.await.expect("stop");
    // Leadership was transferred before `GoAway`, so the relay finds the next leader without waiting for
    // an election.
    assert_eq!(leaders_at_go_away, Some(1));
    assert_eq!(answered, 50);
}

async fn count_leaders(cluster: &Cluster) -> usize {
    let operator = cluster.operator();
    let mut leaders = 0;
    for machine in &cluster.machines {
        let status = operator.try_status(machine.http_address()).await;
        let is_leader = status.is_some_and(|status| status.leader == Some(status.replica));
        leaders += usize::from(is_leader);
    }
    leaders
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_new_leader_reports_settling_while_agents_may_hold_older_leases() {
    let mut cluster = Cluster::prepare(1).await;
    // Leases that a previous leader granted would outlast the test.
    cluster.machines[0].config.lease_duration_ms = 3_600_000;
    cluster.start_all().await;
    let operator = cluster.operator();
    operator.apply(&command("c0", 0)).await;
    let path = format!("{}?version=1&timeout_ms=10", paths::WAIT);
    let reply: WaitReply = operator.get(&path).await;
    assert!(!reply.in_force && reply.settling && reply.behind.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn waiting_for_a_version_names_the_agents_that_are_behind() {
    let cluster = Cluster::start(3).await;
    let operator = cluster.operator();
    operator.apply(&command("c0", 0)).await;
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    relay.watch(0).await;
    let current_lease = Some(agent_status(1, 10));
    let expired_lease = Some(agent_status(0, 60_000));
    let agents = [
        ("ahead", current_lease),
        ("lapsed", expired_lease),
        ("late", Some(agent_status(0, 5))),
    ];
    relay.send(report(&agents)).await;
    wait_for("the report", || async {
        let status: ControlStatus = operator
            .try_status(cluster.machines[leader].http_address())
            .await?;
        (status.agents.len() == 3).then_some(())
    })
    .await;
    let path = format!("{}?version=1&timeout_ms=2000", paths::WAIT);
    let reply: WaitReply = operator.get(&path).await;
    assert!(!reply.in_force && !reply.settling);
    let behind: Vec<&str> = reply
        .behind
        .iter()
        .map(|agent| agent.agent.as_str())
        .collect();
    assert_eq!(behind, ["late"]);
    relay
        .send(report(&[("late", Some(agent_status(1, 5)))]))
        .await;
    let reply: WaitReply = operator.get(&path).await;
    assert!(reply.in_force, "{reply:?}");
    // Version 2 does not exist yet, so it is not in force, whatever agents report.
    let path = format!("{}?version=2&timeout_ms=10", paths::WAIT);
    let reply: WaitReply = operator.get(&path).await;
    assert!(!reply.in_force);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn agents_of_a_lost_relay_count_as_behind_until_their_leases_have_expired() {
    let cluster = Cluster::start(1).await;
    let operator = cluster.operator();
    operator.apply(&command("c0", 0)).await;
    let mut relay = Relay::connect(cluster.machines[0].internal_address()).await;
    relay.watch(0).await;
    relay
        .send(report(&[("gone", Some(agent_status(0, 0)))]))
        .await;
    wait_for("the report", || async {
        let status = operator
            .try_status(cluster.machines[0].http_address())
            .await?;
        (status.agents.len() == 1).then_some(())
    })
    .await;
    drop(relay);
    let path = format!("{}?version=1&timeout_ms=50", paths::WAIT);
    let reply: WaitReply = operator.get(&path).await;
    assert_eq!(reply.behind.len(), 1, "{reply:?}");
    let path = format!("{}?version=1&timeout_ms=20000", paths::WAIT);
    let reply: WaitReply = operator.get(&path).await;
    assert!(reply.in_force, "{reply:?}");
}

fn backend_record(number: u16, state: BackendState) -> BackendRecord {
    BackendRecord {
        id: format!("server-{number}").into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        placement: Placement {
            region: "palermo".into(),
            zone: "palermo-a".into(),
        },
        state,
        incarnation: 1,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_platform_list_and_observations_reach_relays() {
    let machines: Vec<BackendRecord> = (1..5)
        .map(|number| backend_record(number, BackendState::Live))
        .collect();
    let platform = support::platform::Platform::start(machines).await;
    let mut cluster = Cluster::prepare(3).await;
    for machine in &mut cluster.machines {
        machine.config.platform = Some(platform.config());
    }
    cluster.start_all().await;
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    relay.watch(0).await;
    relay.send(report(&[("a", Some(agent_status(0, 0)))])).await;
    let listed = relay.receive_matching(as_update).await;
    assert_eq!(listed.backends.len(), 4);
    let draining = Observation {
        backend: "server-2".into(),
        service: SERVICE.into(),
        incarnation: 1,
        kind: ObservationKind::Draining,
    };
    let observations = vec![(AgentId::from("a"), draining)];
    relay.send(RelayToControl::Observe { observations }).await;
    let changed = |message| as_update(message).filter(|update| !update.backends.is_empty());
    let draining_update = relay.receive_matching(changed).await;
    let record = draining_update.backends[&"server-2".into()]
        .as_ref()
        .expect("a record");
    assert_eq!(record.state, BackendState::Leaving);
    platform.set_machines(vec![
        backend_record(1, BackendState::Leaving),
        backend_record(2, BackendState::Live),
    ]);
    let leaving = relay.receive_matching(changed).await;
    let record = leaving.backends[&"server-1".into()]
        .as_ref()
        .expect("a record");
    assert_eq!(record.state, BackendState::Leaving);
    let removed = relay.receive_matching(changed).await;
    assert_eq!(removed.backends[&"server-4".into()], None);
    let remaining: Vec<BackendRecord> = cluster.operator().get(paths::BACKENDS).await;
    assert_eq!(remaining.len(), 2);
}
