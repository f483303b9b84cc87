//! The configuration: compare-and-set, resends, conflicts, validity.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_control::{
    configuration::ConfigurationState,
    shared::{SharedCommand, SharedOutcome, SharedState},
};
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, BackendId, ConfigurationChange, IndexSnapshot, RoutingSettings,
    ServiceConfiguration, ServiceName, ShardAssignment, ShardId, SnapshotId,
};

fn service_configuration(generation: u64) -> ServiceConfiguration {
    ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation,
                partition_map: 1,
            },
            shards: vec![ShardAssignment {
                shard: ShardId(0),
                replicas: vec![BackendId::from("a")],
            }],
        },
        routing: RoutingSettings::default(),
    }
}

fn command(id: &str, expected_version: u64, generation: u64) -> ApplyCommand {
    ApplyCommand {
        command_id: id.into(),
        operator: "olga".into(),
        reason: "a test".into(),
        expected_version,
        change: ConfigurationChange::SetService {
            service: ServiceName::from("stock.Search"),
            configuration: service_configuration(generation),
        },
    }
}

fn apply(state: &mut ConfigurationState, command: ApplyCommand) -> ApplyOutcome {
    state.apply(command, 1_000).0
}

#[test]
fn equal_versions_have_one_winner_and_the_conflict_names_it() {
    let mut state = ConfigurationState::default();
    let first = apply(&mut state, command("first", 0, 1));
    let second = apply(&mut state, command("second", 0, 2));
    assert_eq!(first, ApplyOutcome::Accepted { version: 1 });
    let ApplyOutcome::Conflict {
        current_version,
        winner,
    } = second
    else {
        panic!("{second:?}");
    };
    assert_eq!(current_version, 1);
    assert_eq!(winner.expect("a winner").command_id.as_str(), "first");
}

#[test]
fn a_resend_gets_the_first_outcome() {
    let mut state = ConfigurationState::default();
    let accepted = apply(&mut state, command("first", 0, 1));
    let conflict = apply(&mut state, command("second", 0, 2));
    apply(&mut state, command("third", 1, 3));
    assert_eq!(apply(&mut state, command("first", 0, 1)), accepted);
    assert_eq!(apply(&mut state, command("second", 0, 2)), conflict);
    assert_eq!(state.current().version, 2);
}

#[test]
fn a_winner_whose_outcome_is_forgotten_is_not_told_that_it_lost() {
    let mut state = ConfigurationState::default();
    apply(&mut state, command("first", 0, 1));
    for loser in 0..2_000 {
        apply(&mut state, command(&format!("loser-{loser}"), 0, 2));
    }
    assert_eq!(state.recorded_outcome(&command("first", 0, 1)), None);
    assert_eq!(
        apply(&mut state, command("first", 0, 1)),
        ApplyOutcome::Accepted { version: 1 }
    );
}

#[test]
fn one_snapshot_id_names_one_partition_map() {
    let mut state = ConfigurationState::default();
    apply(&mut state, command("first", 0, 1));
    let mut changed = service_configuration(1);
    changed.snapshot.shards[0].replicas = vec![BackendId::from("b")];
    let mut reuse = command("reuse", 1, 1);
    reuse.change = ConfigurationChange::PublishSnapshot {
        service: ServiceName::from("stock.Search"),
        snapshot: changed.snapshot,
    };
    assert!(matches!(
        apply(&mut state, reuse),
        ApplyOutcome::Invalid { .. }
    ));
    assert_eq!(state.current().version, 1);
}

#[test]
fn an_unknown_service_is_invalid_with_its_name() {
    let mut state = ConfigurationState::default();
    let mut unknown = command("unknown", 0, 1);
    unknown.change = ConfigurationChange::RemoveService {
        service: ServiceName::from("stock.Search"),
    };
    let ApplyOutcome::Invalid { reasons } = apply(&mut state, unknown) else {
        panic!("accepted");
    };
    assert!(reasons[0].contains("stock.Search"), "{reasons:?}");
}

#[test]
fn updates_bring_any_known_revision_to_the_current_state() {
    let mut state = SharedState::default();
    let mut wholes = vec![state.full_update()];
    for version in 0..40 {
        let shared = SharedCommand::Configuration {
            command: command(&format!("c{version}"), version, version),
            proposed_at_ms: version,
        };
        state.apply(version * 3 + 1, shared);
        wholes.push(state.full_update());
    }
    let current = state.full_update();
    for past in &wholes[1..] {
        let Some(update) = state.update_since(past.revision) else {
            assert_eq!(past.revision, current.revision);
            continue;
        };
        assert!(!update.full);
        assert_eq!(update.from_revision, past.revision);
        let mut services: BTreeMap<_, _> = past.services.clone();
        services.extend(update.services);
        assert_eq!(services, current.services);
        assert_eq!(update.revision, current.revision);
    }
    assert!(state.update_since(0).expect("an update").full);
    assert!(
        state.update_since(2).expect("an update").full,
        "not a revision of this log"
    );
    assert_eq!(state.update_since(current.revision + 5), None);
}

#[test]
fn a_snapshot_restores_the_same_state() {
    let mut state = SharedState::default();
    for version in 0..5 {
        let shared = SharedCommand::Configuration {
            command: command(&format!("c{version}"), version, version),
            proposed_at_ms: version,
        };
        let outcome = state.apply(version + 1, shared);
        assert!(matches!(outcome, SharedOutcome::Configuration(_)));
    }
    let data = state.snapshot().expect("encode");
    let restored = SharedState::restore(&data).expect("decode");
    assert_eq!(restored.snapshot().expect("encode"), data);
    assert_eq!(restored.full_update(), state.full_update());
    let mut other_version = data;
    other_version[0] = 9;
    let refused = SharedState::restore(&other_version).expect_err("another version");
    assert!(refused.to_string().contains("version"), "{refused}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    /// Racing operators with resends: versions grow by one, each is won once, and a command's
    /// outcome is the same each time it is asked.
    #[test]
    fn each_version_is_won_once(sends in prop::collection::vec((0_u64..12, 0_u64..10), 1..80)) {
        let mut state = ConfigurationState::default();
        let mut first_outcomes = BTreeMap::new();
        let mut winners = BTreeMap::new();
        for (id, expected) in sends {
            let name = format!("command-{id}");
            let before = state.current().version;
            let outcome = apply(&mut state, command(&name, expected, id));
            let first = first_outcomes.entry(name.clone()).or_insert_with(|| outcome.clone());
            prop_assert_eq!(&outcome, first);
            let after = state.current().version;
            prop_assert!(after == before || after == before + 1);
            if after > before {
                prop_assert!(winners.insert(after, name).is_none());
            }
        }
    }
}
