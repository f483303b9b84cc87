//! Tests that an answer comes from a single snapshot during rollover and repartitioning under load.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use sablehaven_types::{MissingReason, Outcome, ServiceConfiguration, ShardId, SnapshotId};
use tokio::sync::Semaphore;

use crate::support::{
    backend::Script,
    bed::{FIRST, TestBed},
    caller::Answer,
    eventually,
    schema::{origin_label, service},
};

const REBUILT: SnapshotId = SnapshotId {
    generation: 2,
    partition_map: 1,
};
const REPARTITIONED: SnapshotId = SnapshotId {
    generation: 2,
    partition_map: 2,
};

/// Asserts that every item comes from the snapshot in the envelope, with one item for each answered shard.
fn assert_single_snapshot(answer: &Answer) {
    let snapshot = answer.envelope.snapshot.expect("a pinned snapshot");
    let coverage = answer.envelope.coverage.as_ref().expect("coverage");
    let expected = coverage
        .answered
        .iter()
        .map(|shard| format!("q {}", origin_label(*shard, snapshot)));
    let items = answer
        .envelope
        .body
        .as_ref()
        .map_or(Vec::new(), |_| answer.items());
    assert_eq!(items, expected.collect::<Vec<_>>());
}

/// Returns a configuration with twice as many shards on the same back ends.
fn with_doubled_shards(bed: &TestBed, id: SnapshotId) -> ServiceConfiguration {
    let mut configuration = bed.service_configuration(id);
    let shards = configuration.snapshot.shards.clone();
    let count = u32::try_from(shards.len()).expect("few shards");
    for mut assignment in shards {
        assignment.shard = ShardId(assignment.shard.0 + count);
        configuration.snapshot.shards.push(assignment);
    }
    configuration
}

#[tokio::test]
async fn answers_never_mix_snapshots_during_rebuilds_and_repartitioning() {
    let bed = Arc::new(TestBed::start(4, 2).await);
    for (backend, number) in bed.backends.iter().zip(0..) {
        backend.stop_recording();
        // Staggers the replies, so that configurations are published while queries run.
        backend.set_script(Script::Delay(Duration::from_millis(number)));
    }
    let agent = bed.start_agent().await;
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(Mutex::new(BTreeSet::new()));
    let callers = (0..8).map(|_| {
        let caller = agent.caller.clone();
        let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
        tokio::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                let answer = caller.search("q").await;
                assert_single_snapshot(&answer);
                let snapshot = answer.envelope.snapshot.expect("a pinned snapshot");
                answered.lock().expect("not poisoned").insert(snapshot);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for generation in 2..30 {
        let id = SnapshotId {
            generation,
            partition_map: generation,
        };
        let previous = SnapshotId {
            generation: generation - 1,
            partition_map: generation - 1,
        };
        // As in a rollover, the back ends hold both snapshots for a while and then drop the previous one.
        bed.backends
            .iter()
            .for_each(|backend| backend.set_held_snapshots(&[previous, id]));
        let configuration = match generation % 2 {
            0 => with_doubled_shards(&bed, id),
            _ => bed.service_configuration(id),
        };
        let version = bed.publish_configuration(configuration);
        let metric = "sablehaven_agent_configuration_version";
        agent.wait_for_metric(metric, version).await;
        bed.backends
            .iter()
            .for_each(|backend| backend.set_held_snapshots(&[id]));
        let is_used = || answered.lock().expect("not poisoned").contains(&id);
        eventually("a query is answered from the new snapshot", is_used).await;
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("every answer comes from one snapshot");
    }
}

#[tokio::test]
async fn a_query_restarts_if_its_generation_is_dropped() {
    let bed = TestBed::start(3, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    let held = Arc::clone(&gate);
    // Delays the last shard of the pinned generation until the new generation is in force.
    bed.backends[2].set_script_fn(move |received| match received.snapshot == FIRST {
        true => Script::Gate(Arc::clone(&held)),
        false => Script::Reply,
    });
    let agent = bed.start_agent().await;
    let caller = agent.caller.clone();
    let request_task = tokio::spawn(async move { caller.search("q").await });
    eventually("the last shard is asked", || {
        bed.backends[2].running_count() == 1
    })
    .await;
    bed.publish_configuration(bed.service_configuration(REBUILT));
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    bed.backends[2].set_held_snapshots(&[REBUILT]);
    gate.add_permits(1);
    let answer = request_task.await.expect("answered");
    assert_eq!(answer.envelope.snapshot, Some(REBUILT));
    assert!(
        answer
            .envelope
            .coverage
            .as_ref()
            .expect("coverage")
            .is_complete()
    );
    assert_single_snapshot(&answer);
    assert_eq!(agent.metric("sablehaven_agent_query_restarts_total"), 1);
}

#[tokio::test]
async fn a_shard_without_the_generation_is_missing_if_there_is_no_newer_one() {
    let bed = TestBed::start(3, 2).await;
    bed.backends[2].set_held_snapshots(&[]);
    bed.backends[3].set_held_snapshots(&[]);
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("q").await;
    let coverage = answer.envelope.coverage.as_ref().expect("coverage");
    assert_eq!(coverage.missing.len(), 1);
    assert_eq!(coverage.missing[0].shard, ShardId(1));
    assert_eq!(coverage.missing[0].reason, MissingReason::SnapshotGone);
    assert_single_snapshot(&answer);
    let attempt_count = bed.backends[2].received().len() + bed.backends[3].received().len();
    assert_eq!(attempt_count, 2, "each replica is asked once");
}

#[tokio::test]
async fn a_replica_without_the_generation_is_replaced_by_one_that_has_it() {
    let bed = TestBed::start(2, 2).await;
    bed.backends[0].set_held_snapshots(&[]);
    bed.backends[2].set_held_snapshots(&[]);
    let agent = bed.start_agent().await;
    for _ in 0..20 {
        let answer = agent.caller.search("q").await;
        assert!(answer.envelope.coverage.expect("coverage").is_complete());
    }
}

#[tokio::test]
async fn query_restarts_are_limited() {
    let bed = TestBed::start(1, 1).await;
    let mut config = bed.agent_config();
    config.limits.query_restarts = 0;
    let agent = bed.start_agent_with_config(config).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    let caller = agent.caller.clone();
    let request_task = tokio::spawn(async move { caller.search("q").await });
    eventually("the shard is asked", || {
        bed.backends[0].running_count() == 1
    })
    .await;
    bed.publish_configuration(bed.service_configuration(REBUILT));
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    bed.backends[0].set_held_snapshots(&[REBUILT]);
    gate.add_permits(1);
    let answer = request_task.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::NotRun);
    assert_eq!(answer.envelope.snapshot, Some(FIRST));
}

#[tokio::test]
async fn a_lookup_follows_the_new_partition_map() {
    let bed = TestBed::start(2, 1).await;
    let agent = bed.start_agent().await;
    bed.publish_configuration(with_doubled_shards(&bed, REPARTITIONED));
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    let answer = agent.caller.get("depot-7").await;
    assert_eq!(answer.envelope.snapshot, Some(REPARTITIONED));
    let received: Vec<_> = bed
        .backends
        .iter()
        .flat_map(|backend| backend.received())
        .collect();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].snapshot, REPARTITIONED);
}

#[tokio::test]
async fn a_schema_change_is_applied_at_run_time() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let before = agent
        .caller
        .post("Find")
        .json(&serde_json::json!({}))
        .send()
        .await;
    assert_eq!(before.expect("answered").status().as_u16(), 404);
    bed.relay.publish(|state| {
        state.schema_text = state.schema_text.replace("rpc Search(", "rpc Find(");
    });
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    let after = agent
        .caller
        .post("Find")
        .json(&serde_json::json!({ "unknown": 1 }))
        .send()
        .await;
    assert_eq!(after.expect("answered").status().as_u16(), 400);
}

#[tokio::test]
async fn an_invalid_schema_leaves_the_previous_one_in_force() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    bed.relay
        .publish(|state| state.schema_text = "no schema".to_owned());
    let metric = "sablehaven_agent_unusable_configurations_total";
    agent.wait_for_metric(metric, 1).await;
    let answer = agent
        .caller
        .search_with_deadline("q", Duration::from_secs(10))
        .await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
}

/// An agent acknowledges a configuration to control as soon as its subscription has it. A request that
/// starts after that must not be served by an older one.
#[tokio::test]
async fn a_request_after_the_acknowledgement_is_served_by_the_new_configuration() {
    let bed = TestBed::start(2, 1).await;
    let agent = bed.start_agent().await;
    for generation in 2..6 {
        let id = SnapshotId {
            generation,
            partition_map: 1,
        };
        // Makes the schema slow to parse, so that a request could be served before it is applied.
        let filler = (0..150).map(|number| {
            format!("message Filler{generation}x{number} {{ string a = 1; string b = 2; }}\n")
        });
        let filler: String = filler.collect();
        let version = bed.relay.publish(|state| {
            state.schema_text.push_str(&filler);
            state
                .services
                .insert(service(), bed.service_configuration(id));
        });
        eventually("the revision is acknowledged", || {
            bed.relay.lock().acknowledged_revision >= version
        })
        .await;
        let answer = agent.caller.search("q").await;
        assert_eq!(answer.envelope.snapshot, Some(id));
        assert!(answer.envelope.configuration.version >= version);
    }
}
