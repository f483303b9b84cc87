//! The replicated configuration: compare-and-set, resends, conflicts and validation.

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
fn commands_with_equal_expected_versions_have_one_winner_named_in_the_conflict() {
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
fn a_resent_command_gets_its_original_outcome() {
    let mut state = ConfigurationState::default();
    let accepted = apply(&mut state, command("first", 0, 1));
    let conflict = apply(&mut state, command("second", 0, 2));
    apply(&mut state, command("third", 1, 3));
    assert_eq!(apply(&mut state, command("first", 0, 1)), accepted);
    assert_eq!(apply(&mut state, command("second", 0, 2)), conflict);
    assert_eq!(state.current().version, 2);
}

#[test]
fn a_resent_winner_is_accepted_after_its_outcome_was_evicted() {
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
fn a_snapshot_id_cannot_be_reused_for_another_partition_map() {
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
fn an_unknown_service_is_rejected_by_name() {
    let mut state = ConfigurationState::default();
    let mut unknown = command("unknown", 0, 1);
    unknown.change = ConfigurationChange::RemoveService {
        service: ServiceName::from("stock.Search"),
    };
    let ApplyOutcome::Invalid { reasons } = apply(&mut state, unknown) else {
        panic!("the unknown service was accepted");
    };
    assert!(reasons[0].contains("stock.Search"), "{reasons:?}");
}

#[test]
fn an_update_brings_any_known_revision_to_the_current_state() {
    let mut state = SharedState::default();
    let mut full_updates = vec![state.full_update()];
    for version in 0..40 {
        let shared = SharedCommand::Configuration {
            command: command(&format!("c{version}"), version, version),
            proposed_at_ms: version,
        };
        state.apply(version * 3 + 1, shared);
        full_updates.push(state.full_update());
    }
    let current = state.full_update();
    for earlier in &full_updates[1..] {
        let Some(update) = state.update_since(earlier.revision) else {
            assert_eq!(earlier.revision, current.revision);
            continue;
        };
        assert!(!update.full);
        assert_eq!(update.from_revision, earlier.revision);
        let mut services: BTreeMap<_, _> = earlier.services.clone();
        services.extend(update.services);
        assert_eq!(services, current.services);
        assert_eq!(update.revision, current.revision);
    }
    assert!(state.update_since(0).expect("an update").full);
    assert!(
        state.update_since(2).expect("an update").full,
        "revision 2 is not a revision of this log"
    );
    assert_eq!(state.update_since(current.revision + 5), None);
}

#[test]
fn a_restored_snapshot_has_the_same_state() {
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
    let error = SharedState::restore(&other_version).expect_err("another version");
    assert!(error.to_string().contains("version"), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    /// With concurrent operators and resends, versions grow by one, each version has one winner, and
    /// a command gets the same outcome every time it is sent.
    #[test]
    fn each_version_has_one_winner(
        submissions in prop::collection::vec((0_u64..12, 0_u64..10), 1..80),
    ) {
        let mut state = ConfigurationState::default();
        let mut first_outcomes = BTreeMap::new();
        let mut winners = BTreeMap::new();
        for (id, expected) in submissions {
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
