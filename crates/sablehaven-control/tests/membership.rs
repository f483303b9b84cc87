//! Back-end membership: the platform's list, draining reports and agents' suspicions, how many agents must agree on a
//! suspicion, and the limits on removal by suspicion.

use std::{collections::BTreeMap, net::SocketAddr};

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_control::{
    membership::{
        AgentObservation, MembershipState, ObservationBatch, PlatformAbsences, PlatformList,
        PlatformUpdate, SUSPICION_LIFETIME_MS, ServiceWatchers,
    },
    shared::{SharedCommand, SharedState},
};
use sablehaven_types::{
    ApplyCommand, BackendId, BackendRecord, BackendState, Configuration, ConfigurationChange,
    IndexSnapshot, Observation, ObservationKind, Placement, ServiceConfiguration, ServiceName,
    ShardAssignment, ShardId, SnapshotId, ZoneName,
};

const SERVICE: &str = "stock.Search";

fn backend_id(number: usize) -> BackendId {
    BackendId(format!("server-{number:02}"))
}

fn backend_record(number: usize, state: BackendState, incarnation: u64) -> BackendRecord {
    BackendRecord {
        id: backend_id(number),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16)),
        placement: Placement {
            region: "palermo".into(),
            zone: "palermo-a".into(),
        },
        state,
        incarnation,
    }
}

fn state_with_live_servers(servers: usize) -> MembershipState {
    let mut state = MembershipState::default();
    state.apply_platform(PlatformUpdate {
        machines: (0..servers)
            .map(|number| backend_record(number, BackendState::Live, 1))
            .collect(),
        removed: Default::default(),
    });
    state.refresh(&Configuration::default());
    state
}

fn observation(
    agent: usize,
    zone: &str,
    server: usize,
    incarnation: u64,
    kind: ObservationKind,
) -> AgentObservation {
    AgentObservation {
        agent: format!("agent-{agent}").into(),
        zone: Some(ZoneName::from(zone)),
        observation: Observation {
            backend: backend_id(server),
            service: SERVICE.into(),
            incarnation,
            kind,
        },
    }
}

fn unreachable_observation(agent: usize, server: usize) -> AgentObservation {
    observation(agent, "palermo-a", server, 1, ObservationKind::Unreachable)
}

fn apply_observations(
    state: &mut MembershipState,
    now_ms: u64,
    observations: Vec<AgentObservation>,
) {
    state.apply_observations(ObservationBatch {
        proposed_at_ms: now_ms,
        observations,
    });
    state.refresh(&Configuration::default());
}

fn state_of(state: &MembershipState, server: usize) -> BackendState {
    state.records()[&backend_id(server)].state
}

fn set_watchers(state: &mut MembershipState, agents: u32, zones: u32) {
    let watchers = ServiceWatchers { agents, zones };
    state.apply_watchers(BTreeMap::from([(ServiceName::from(SERVICE), watchers)]));
}

#[test]
fn one_agent_cannot_suspect_a_server_and_two_can() {
    let mut state = state_with_live_servers(10);
    apply_observations(
        &mut state,
        1_000,
        vec![unreachable_observation(1, 0), unreachable_observation(1, 0)],
    );
    assert_eq!(state_of(&state, 0), BackendState::Live);
    apply_observations(&mut state, 1_001, vec![unreachable_observation(2, 0)]);
    assert_eq!(state_of(&state, 0), BackendState::Suspected);
}

#[test]
fn a_service_with_more_watchers_needs_more_agents_from_two_zones() {
    let mut state = state_with_live_servers(10);
    set_watchers(&mut state, 16, 2);
    let from_one_zone = (0..8)
        .map(|agent| unreachable_observation(agent, 0))
        .collect();
    apply_observations(&mut state, 1_000, from_one_zone);
    assert_eq!(state_of(&state, 0), BackendState::Live, "one zone alone");
    let other_zone = observation(9, "palermo-b", 0, 1, ObservationKind::Unreachable);
    apply_observations(&mut state, 1_001, vec![other_zone]);
    assert_eq!(state_of(&state, 0), BackendState::Suspected);
    let two_agents = (0..2).map(|agent| unreachable_observation(agent, 1));
    let three_agents = two_agents.chain([observation(
        9,
        "palermo-b",
        1,
        1,
        ObservationKind::Unreachable,
    )]);
    apply_observations(&mut state, 1_002, three_agents.collect());
    assert_eq!(state_of(&state, 1), BackendState::Live, "three of sixteen");
}

#[test]
fn an_answer_clears_suspicions_and_suspicions_expire() {
    let mut state = state_with_live_servers(10);
    apply_observations(
        &mut state,
        1_000,
        vec![unreachable_observation(1, 0), unreachable_observation(2, 0)],
    );
    let answered = observation(3, "palermo-a", 0, 1, ObservationKind::Reachable);
    apply_observations(&mut state, 1_001, vec![answered]);
    assert_eq!(state_of(&state, 0), BackendState::Live);
    apply_observations(
        &mut state,
        2_000,
        vec![unreachable_observation(1, 0), unreachable_observation(2, 0)],
    );
    assert!(!state.has_expired_suspicion(2_000 + SUSPICION_LIFETIME_MS));
    assert!(state.has_expired_suspicion(2_001 + SUSPICION_LIFETIME_MS));
    apply_observations(&mut state, 2_001 + SUSPICION_LIFETIME_MS, vec![]);
    assert_eq!(state_of(&state, 0), BackendState::Live);
}

#[test]
fn a_servers_own_draining_report_suffices_until_its_next_start() {
    let mut state = state_with_live_servers(3);
    let draining = observation(1, "palermo-a", 0, 1, ObservationKind::Draining);
    apply_observations(&mut state, 1_000, vec![draining.clone()]);
    assert_eq!(state_of(&state, 0), BackendState::Leaving);
    let restarted = observation(2, "palermo-a", 0, 2, ObservationKind::Reachable);
    apply_observations(&mut state, 1_001, vec![restarted]);
    assert_eq!(state_of(&state, 0), BackendState::Live);
    apply_observations(&mut state, 1_002, vec![draining]);
    assert_eq!(state_of(&state, 0), BackendState::Live, "an earlier start");
    assert_eq!(state.records()[&backend_id(0)].incarnation, 2);
}

#[test]
fn the_platform_list_marks_servers_leaving_at_once_and_removes_absent_ones_after_several_lists() {
    let mut state = state_with_live_servers(2);
    let mut absences = PlatformAbsences::default();
    let list = PlatformList {
        machines: vec![backend_record(0, BackendState::Leaving, 1)],
        ..PlatformList::default()
    };
    for _ in 0..2 {
        let update = absences.compare(&list, &state);
        assert!(update.removed.is_empty());
        state.apply_platform(update);
        state.refresh(&Configuration::default());
        assert_eq!(state_of(&state, 0), BackendState::Leaving);
        assert_eq!(state_of(&state, 1), BackendState::Live);
    }
    state.apply_platform(absences.compare(&list, &state));
    state.refresh(&Configuration::default());
    assert!(!state.records().contains_key(&backend_id(1)));
    assert!(absences.compare(&list, &state).is_empty());
}

#[test]
fn suspicions_of_all_servers_are_limited_to_a_share() {
    let mut state = state_with_live_servers(20);
    let all_servers =
        (0..20).flat_map(|server| (0..9).map(move |agent| unreachable_observation(agent, server)));
    apply_observations(&mut state, 1_000, all_servers.collect());
    let suspected = (0..20).filter(|server| state_of(&state, *server) == BackendState::Suspected);
    assert_eq!(suspected.count(), 6, "three tenths of twenty");
    assert_eq!(state.held_back().len(), 14);
}

#[test]
fn suspicion_never_removes_the_last_replica_of_a_shard() {
    let mut state = state_with_live_servers(10);
    let shard = |shard: u32, replicas: [usize; 2]| ShardAssignment {
        shard: ShardId(shard),
        replicas: replicas.map(backend_id).to_vec(),
    };
    let snapshot = IndexSnapshot {
        id: SnapshotId::default(),
        shards: vec![shard(0, [0, 1]), shard(1, [2, 3])],
    };
    let service = ServiceConfiguration {
        snapshot,
        routing: Default::default(),
    };
    let configuration = Configuration {
        services: BTreeMap::from([(ServiceName::from(SERVICE), service)]),
        ..Configuration::default()
    };
    let both = [0, 1].into_iter().flat_map(|server| {
        [
            unreachable_observation(1, server),
            unreachable_observation(2, server),
        ]
    });
    state.apply_observations(ObservationBatch {
        proposed_at_ms: 1_000,
        observations: both.collect(),
    });
    state.refresh(&configuration);
    assert_eq!(state_of(&state, 0), BackendState::Suspected);
    assert_eq!(state_of(&state, 1), BackendState::Live);
}

#[test]
fn an_observation_batch_about_a_whole_zone_is_one_update() {
    let mut state = SharedState::default();
    let machines = (0..30).map(|number| backend_record(number, BackendState::Live, 1));
    let update = PlatformUpdate {
        machines: machines.collect(),
        removed: Default::default(),
    };
    state.apply(1, SharedCommand::Platform(update));
    let configured = ApplyCommand {
        command_id: "c".into(),
        operator: "olga".into(),
        reason: String::new(),
        expected_version: 0,
        change: ConfigurationChange::ReplaceAll {
            configuration: Configuration::default(),
        },
    };
    state.apply(
        2,
        SharedCommand::Configuration {
            command: configured,
            proposed_at_ms: 1,
        },
    );
    let zone = (0..9).flat_map(|server| {
        [
            unreachable_observation(1, server),
            unreachable_observation(2, server),
        ]
    });
    let batch = ObservationBatch {
        proposed_at_ms: 1_000,
        observations: zone.collect(),
    };
    state.apply(3, SharedCommand::Observations(batch));
    let update = state.update_since(2).expect("an update");
    assert_eq!((update.full, update.revision), (false, 3));
    assert_eq!(update.backends.len(), 9);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    /// For any reports of agents, suspicion removes at most its share of the servers, and no server on the reports of a
    /// single agent.
    #[test]
    fn suspicion_removes_at_most_its_share(
        reports in prop::collection::vec((0_usize..5, 0_usize..12, 0_u8..4), 0..150),
    ) {
        let mut state = state_with_live_servers(12);
        let mut agents_of: BTreeMap<usize, std::collections::BTreeSet<usize>> = BTreeMap::new();
        for (elapsed_ms, (agent, server, kind)) in reports.into_iter().enumerate() {
            let kind = if kind == 0 { ObservationKind::Reachable } else { ObservationKind::Unreachable };
            let agents = agents_of.entry(server).or_default();
            match kind {
                ObservationKind::Reachable => agents.clear(),
                _ => { agents.insert(agent); }
            }
            apply_observations(
                &mut state,
                1_000 + elapsed_ms as u64,
                vec![observation(agent, "palermo-a", server, 1, kind)],
            );
            let suspected: Vec<usize> = (0..12)
                .filter(|server| state_of(&state, *server) == BackendState::Suspected)
                .collect();
            prop_assert!(suspected.len() <= 3);
            for server in suspected {
                prop_assert!(agents_of[&server].len() >= 2);
            }
        }
    }
}

/// Guards against losing the whole list of machines with one entry, and against removing the machine of that entry.
#[test]
fn an_entry_of_the_platform_list_that_cannot_be_parsed_is_rejected_alone() {
    let mut state = state_with_live_servers(2);
    let sound = serde_json::to_string(&backend_record(0, BackendState::Leaving, 1)).expect("JSON");
    let other = backend_record(1, BackendState::Live, 1);
    let other = serde_json::to_string(&other).expect("JSON");
    let digits = "9".repeat(400);
    for number in ["18446744073709551616", "-1", "1e999", "0.5", &digits] {
        let invalid = other.replace("\"incarnation\":1", &format!("\"incarnation\":{number}"));
        assert_ne!(invalid, other);
        let unused = sound.replacen('{', &format!("{{\"note\":{number},"), 1);
        let body = format!("{{\"machines\":[{invalid},{unused}],\"note\":{number}}}");
        let list = PlatformList::parse(body.as_bytes()).expect("a list");
        assert_eq!(list.machines, [backend_record(0, BackendState::Leaving, 1)]);
        let id = backend_id(1);
        assert_eq!(list.rejected[0].id.as_deref(), Some(id.as_str()));

        let mut absences = PlatformAbsences::default();
        for _ in 0..5 {
            state.apply_platform(absences.compare(&list, &state));
        }
        state.refresh(&Configuration::default());
        assert_eq!(state_of(&state, 0), BackendState::Leaving);
        assert_eq!(state_of(&state, 1), BackendState::Live);
    }
    for entry in ["null", "7", "{}", r#"{"id":"\ud83d"}"#, r#"{"id":7}"#] {
        let body = format!("{{\"machines\":[{entry},{sound}]}}");
        let list = PlatformList::parse(body.as_bytes()).expect("a list");
        assert_eq!(
            (list.machines.len(), list.rejected.len()),
            (1, 1),
            "{entry}"
        );
    }
    assert!(PlatformList::parse(b"{\"machines\":").is_err());
}
