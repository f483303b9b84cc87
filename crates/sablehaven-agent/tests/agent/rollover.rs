//! One snapshot an answer: rollover and repartitioning under load never mix.

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
    bed::{Bed, FIRST},
    caller::Answer,
    eventually,
    schema::{mark, service},
};

const REBUILT: SnapshotId = SnapshotId {
    generation: 2,
    partition_map: 1,
};
const REPARTITIONED: SnapshotId = SnapshotId {
    generation: 2,
    partition_map: 2,
};

/// Every item carries the envelope's snapshot, and answered shards and items are alike.
fn assert_single_snapshot(answer: &Answer) {
    let snapshot = answer.envelope.snapshot.expect("a pinned snapshot");
    let coverage = answer.envelope.coverage.as_ref().expect("coverage");
    let expected = coverage
        .answered
        .iter()
        .map(|shard| format!("q {}", mark(*shard, snapshot)));
    let items = answer
        .envelope
        .body
        .as_ref()
        .map_or(Vec::new(), |_| answer.items());
    assert_eq!(items, expected.collect::<Vec<_>>());
}

/// The bed's back ends under another partition map: the same servers, twice the shards.
fn doubled(bed: &Bed, id: SnapshotId) -> ServiceConfiguration {
    let mut configuration = bed.configuration(id);
    let shards = configuration.snapshot.shards.clone();
    let count = u32::try_from(shards.len()).expect("few shards");
    for mut assignment in shards {
        assignment.shard = ShardId(assignment.shard.0 + count);
        configuration.snapshot.shards.push(assignment);
    }
    configuration
}

#[tokio::test]
async fn rebuilds_and_repartitioning_under_load_never_mix() {
    let bed = Arc::new(Bed::start(4, 2).await);
    for (backend, number) in bed.backends.iter().zip(0..) {
        backend.forget_attempts();
        // Replies that come one after the other, so that publications fall into running queries.
        backend.always(Script::Delay(Duration::from_millis(number)));
    }
    let agent = bed.agent().await;
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
        // Both are held for a while, as in a rollover; then the previous one goes.
        bed.backends
            .iter()
            .for_each(|backend| backend.hold(&[previous, id]));
        let configuration = match generation % 2 {
            0 => doubled(&bed, id),
            _ => bed.configuration(id),
        };
        let version = bed.publish(configuration);
        let metric = "sablehaven_agent_configuration_version";
        agent.wait_for_metric(metric, version).await;
        bed.backends.iter().for_each(|backend| backend.hold(&[id]));
        let is_used = || answered.lock().expect("not poisoned").contains(&id);
        eventually("a caller is answered by the new snapshot", is_used).await;
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("no mixed answer");
    }
}

#[tokio::test]
async fn a_query_starts_again_when_its_generation_goes() {
    let bed = Bed::start(3, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    let held = Arc::clone(&gate);
    // The pinned generation's last shard is held back until the new generation is in force.
    bed.backends[2].choose(move |seen| match seen.snapshot == FIRST {
        true => Script::Gate(Arc::clone(&held)),
        false => Script::Reply,
    });
    let agent = bed.agent().await;
    let caller = agent.caller.clone();
    let asking = tokio::spawn(async move { caller.search("q").await });
    eventually("the last shard is asked", || bed.backends[2].running() == 1).await;
    bed.publish(bed.configuration(REBUILT));
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    bed.backends[2].hold(&[REBUILT]);
    gate.add_permits(1);
    let answer = asking.await.expect("answered");
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
async fn without_a_newer_generation_the_shard_is_missing() {
    let bed = Bed::start(3, 2).await;
    bed.backends[2].hold(&[]);
    bed.backends[3].hold(&[]);
    let agent = bed.agent().await;
    let answer = agent.caller.search("q").await;
    let coverage = answer.envelope.coverage.as_ref().expect("coverage");
    assert_eq!(coverage.missing.len(), 1);
    assert_eq!(coverage.missing[0].shard, ShardId(1));
    assert_eq!(coverage.missing[0].reason, MissingReason::SnapshotGone);
    assert_single_snapshot(&answer);
    let both = bed.backends[2].seen().len() + bed.backends[3].seen().len();
    assert_eq!(both, 2, "each replica is asked once");
}

#[tokio::test]
async fn a_replica_that_lacks_the_generation_is_replaced_by_one_that_has_it() {
    let bed = Bed::start(2, 2).await;
    bed.backends[0].hold(&[]);
    bed.backends[2].hold(&[]);
    let agent = bed.agent().await;
    for _ in 0..20 {
        let answer = agent.caller.search("q").await;
        assert!(answer.envelope.coverage.expect("coverage").is_complete());
    }
}

#[tokio::test]
async fn restarts_are_bounded() {
    let bed = Bed::start(1, 1).await;
    let mut config = bed.config();
    config.limits.query_restarts = 0;
    let agent = bed.agent_with(config).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].always(Script::Gate(Arc::clone(&gate)));
    let caller = agent.caller.clone();
    let asking = tokio::spawn(async move { caller.search("q").await });
    eventually("the shard is asked", || bed.backends[0].running() == 1).await;
    bed.publish(bed.configuration(REBUILT));
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    bed.backends[0].hold(&[REBUILT]);
    gate.add_permits(1);
    let answer = asking.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::NotRun);
    assert_eq!(answer.envelope.snapshot, Some(FIRST));
}

#[tokio::test]
async fn a_lookup_follows_the_new_partition_map() {
    let bed = Bed::start(2, 1).await;
    let agent = bed.agent().await;
    bed.publish(doubled(&bed, REPARTITIONED));
    let version = bed.relay.lock().revision;
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", version)
        .await;
    let answer = agent.caller.get("depot-7").await;
    assert_eq!(answer.envelope.snapshot, Some(REPARTITIONED));
    let seen: Vec<_> = bed
        .backends
        .iter()
        .flat_map(|backend| backend.seen())
        .collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].snapshot, REPARTITIONED);
}

#[tokio::test]
async fn a_schema_change_is_taken_while_running() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
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
async fn a_schema_that_does_not_parse_leaves_the_one_before_in_force() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    bed.relay
        .publish(|state| state.schema_text = "no schema".to_owned());
    let metric = "sablehaven_agent_unusable_configurations_total";
    agent.wait_for_metric(metric, 1).await;
    let answer = agent
        .caller
        .search_within("q", Duration::from_secs(10))
        .await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
}

/// Control is told that an agent has a configuration as soon as its subscription does; a request
/// that starts after that is served by nothing older.
#[tokio::test]
async fn a_request_after_the_acknowledgement_is_served_by_the_new_configuration() {
    let bed = Bed::start(2, 1).await;
    let agent = bed.agent().await;
    for generation in 2..6 {
        let id = SnapshotId {
            generation,
            partition_map: 1,
        };
        // A schema that takes long to parse, so that a request could overtake it.
        let filler = (0..150).map(|number| {
            format!("message Filler{generation}x{number} {{ string a = 1; string b = 2; }}\n")
        });
        let filler: String = filler.collect();
        let version = bed.relay.publish(|state| {
            state.schema_text.push_str(&filler);
            state.services.insert(service(), bed.configuration(id));
        });
        eventually("acknowledged", || bed.relay.lock().acknowledged >= version).await;
        let answer = agent.caller.search("q").await;
        assert_eq!(answer.envelope.snapshot, Some(id));
        assert!(answer.envelope.configuration.version >= version);
    }
}
