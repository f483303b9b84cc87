//! Back ends over real connections.

use crate::common::{SNAPSHOT, attempt, client, records, settings, start, wait_until};
use prost_reflect::DynamicMessage;
use sablehaven_history::{ExecutionEnd, Mark};
use sablehaven_standins::{
    backend::{BackendSettings, BadReply, Behaviour, HeldSnapshot},
    replies,
};
use sablehaven_types::{BackendId, ShardId, SnapshotId, http};

fn stuck(id: &str) -> BackendSettings {
    let mut settings = settings(id);
    settings.behaviour.stuck = true;
    settings
}

fn header(response: &reqwest::Response, name: &str) -> String {
    let value = response.headers().get(name).expect("header is present");
    value.to_str().expect("text").to_owned()
}

async fn decode(response: reqwest::Response) -> serde_json::Value {
    let schema = crate::common::schema();
    let method = schema
        .method(&crate::common::SERVICE.into(), "Search")
        .expect("method");
    let output = method.output.clone();
    let body = response.bytes().await.expect("body");
    let message = DynamicMessage::decode(output, body).expect("message");
    serde_json::to_value(&message).expect("JSON")
}

#[tokio::test]
async fn a_reply_echoes_the_attempt_and_marks_every_item() {
    let host = start(vec![settings("a")]).await;
    let response = attempt(&client(), &host, "a", "Search")
        .send()
        .await
        .expect("reply");
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, http::ATTEMPT), "7");
    assert_eq!(header(&response, http::SHARD), "0");
    assert_eq!(header(&response, http::SNAPSHOT), "1.1");
    assert_eq!(header(&response, http::BACKEND), "a");
    let marks = replies::marks(&decode(response).await);
    let question = records(&host, 1).await[0].question;
    let expected = |item| Mark {
        shard: ShardId(0),
        snapshot: SNAPSHOT,
        question,
        item,
        run: None,
    };
    assert_eq!(marks, vec![expected(0), expected(1)]);
}

#[tokio::test]
async fn replicas_give_the_same_reply() {
    let host = start(vec![settings("a"), settings("b")]).await;
    let client = client();
    let mut replies = Vec::new();
    for id in ["a", "b"] {
        let response = attempt(&client, &host, id, "Search")
            .send()
            .await
            .expect("reply");
        replies.push(decode(response).await);
    }
    assert_eq!(replies[0], replies[1]);
}

#[tokio::test]
async fn a_full_queue_sheds() {
    let crowded = BackendSettings {
        slots: 1,
        queue_limit: 1,
        ..stuck("a")
    };
    let host = start(vec![crowded]).await;
    let client = client();
    let waiting = [0, 1].map(|_| tokio::spawn(attempt(&client, &host, "a", "Search").send()));
    let backend = host.backend(&BackendId::from("a")).expect("back end");
    wait_until("one runs and one waits", || {
        let status = backend.status();
        (status.running, status.waiting) == (1, 1)
    })
    .await;
    let response = attempt(&client, &host, "a", "Search")
        .send()
        .await
        .expect("refusal");
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, http::REFUSED), http::REFUSED_SHED);
    assert_eq!(header(&response, http::LOAD), "2");
    assert!(!records(&host, 1).await[0].ran());
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn a_reset_stream_cancels_the_work_and_frees_the_slot() {
    let host = start(vec![stuck("a")]).await;
    let client = client();
    let task = tokio::spawn(attempt(&client, &host, "a", "Search").send());
    let backend = host.backend(&BackendId::from("a")).expect("back end");
    wait_until("the request runs", || backend.status().running == 1).await;
    task.abort();
    wait_until("the slot is free", || backend.status().running == 0).await;
    let record = records(&host, 1).await.remove(0);
    assert_eq!(record.end, ExecutionEnd::Cancelled);
    assert!(record.ran());
    assert_eq!(backend.status().connections, 1, "the connection stays open");
}

#[tokio::test]
async fn deadlines_end_what_runs_and_refuse_what_waits() {
    let single = BackendSettings {
        slots: 1,
        ..stuck("a")
    };
    let host = start(vec![single]).await;
    let client = client();
    let blocking = tokio::spawn(attempt(&client, &host, "a", "Search").send());
    let backend = host.backend(&BackendId::from("a")).expect("back end");
    wait_until("the request runs", || backend.status().running == 1).await;
    let waits = attempt(&client, &host, "a", "Search").header(http::DEADLINE_MS, "30");
    let refused = waits.send().await.expect("refusal");
    assert_eq!(header(&refused, http::REFUSED), http::REFUSED_DEADLINE);
    blocking.abort();
    wait_until("the slot is free", || backend.status().running == 0).await;
    let runs = attempt(&client, &host, "a", "Search").header(http::DEADLINE_MS, "1000");
    let ended = runs.send().await.expect("end");
    assert_eq!(ended.status(), 504);
    assert!(!ended.headers().contains_key(http::REFUSED));
    let ends: Vec<_> = records(&host, 3)
        .await
        .iter()
        .map(|record| record.end)
        .collect();
    let expected = [
        ExecutionEnd::RefusedDeadline,
        ExecutionEnd::Cancelled,
        ExecutionEnd::DeadlinePassed,
    ];
    assert_eq!(ends, expected);
}

#[tokio::test]
async fn several_snapshots_are_held_at_once() {
    let host = start(vec![settings("a")]).await;
    let client = client();
    let next = SnapshotId {
        generation: 2,
        partition_map: 1,
    };
    let ask = |snapshot: SnapshotId| {
        let request = attempt(&client, &host, "a", "Search").build();
        let mut request = request.expect("request");
        let text = snapshot.to_string().parse().expect("header");
        request.headers_mut().insert(http::SNAPSHOT, text);
        client.execute(request)
    };
    let refused = ask(next).await.expect("refusal");
    assert_eq!(refused.status(), 409);
    assert_eq!(header(&refused, http::REFUSED), http::REFUSED_SNAPSHOT);
    let backend = host.backend(&BackendId::from("a")).expect("back end");
    backend.hold(HeldSnapshot {
        snapshot: next,
        shards: [ShardId(0)].into(),
    });
    assert_eq!(ask(next).await.expect("reply").status(), 200);
    assert_eq!(ask(SNAPSHOT).await.expect("reply").status(), 200);
    backend.drop_snapshot(SNAPSHOT);
    assert_eq!(ask(SNAPSHOT).await.expect("refusal").status(), 409);
}

#[tokio::test]
async fn a_draining_server_says_so_then_refuses_and_comes_back_as_a_new_start() {
    let graceful = BackendSettings {
        drain_grace_ms: 3_600_000,
        ..settings("a")
    };
    let host = start(vec![graceful, settings("b")]).await;
    let client = client();
    for id in ["a", "b"] {
        host.backend(&BackendId::from(id))
            .expect("back end")
            .drain();
    }
    let announced = attempt(&client, &host, "a", "Search")
        .send()
        .await
        .expect("reply");
    assert_eq!(announced.status(), 200);
    assert_eq!(header(&announced, http::DRAINING), "1");
    let refused = attempt(&client, &host, "b", "Search")
        .send()
        .await
        .expect("refusal");
    assert_eq!(header(&refused, http::REFUSED), http::REFUSED_DRAINING);
    let backend = host.backend(&BackendId::from("b")).expect("back end");
    backend.restore().await.expect("starts again");
    let reply = attempt(&client, &host, "b", "Search")
        .send()
        .await
        .expect("reply");
    assert_eq!(reply.status(), 200);
    assert_eq!(header(&reply, http::INCARNATION), "2");
}

#[tokio::test]
async fn a_lost_server_breaks_its_connections_and_records_what_it_held() {
    let host = start(vec![stuck("a")]).await;
    let client = client();
    let task = tokio::spawn(attempt(&client, &host, "a", "Search").send());
    let backend = host.backend(&BackendId::from("a")).expect("back end");
    wait_until("the request runs", || backend.status().running == 1).await;
    backend.lose().await;
    assert!(task.await.expect("task").is_err());
    assert_eq!(records(&host, 1).await[0].end, ExecutionEnd::Lost);
    assert!(attempt(&client, &host, "a", "Search").send().await.is_err());
}

#[tokio::test]
async fn a_connection_above_the_limit_is_refused() {
    let narrow = BackendSettings {
        connection_limit: 1,
        ..settings("a")
    };
    let host = start(vec![narrow]).await;
    let first = client();
    let reply = attempt(&first, &host, "a", "Search")
        .send()
        .await
        .expect("reply");
    assert_eq!(reply.status(), 200);
    assert!(
        attempt(&client(), &host, "a", "Search")
            .send()
            .await
            .is_err()
    );
    let status = host
        .backend(&BackendId::from("a"))
        .expect("back end")
        .status();
    assert_eq!(
        (status.connections, status.connections_refused > 0),
        (1, true)
    );
    let again = attempt(&first, &host, "a", "Search")
        .send()
        .await
        .expect("reply");
    assert_eq!(again.status(), 200);
}

#[tokio::test]
async fn bad_replies_are_wrong_in_the_way_that_was_asked_for() {
    let host = start(vec![settings("a")]).await;
    let backend = host.backend(&BackendId::from("a")).expect("back end");
    let client = client();
    for (bad_reply, name, right) in [
        (BadReply::WrongAttempt, http::ATTEMPT, "7"),
        (BadReply::WrongShard, http::SHARD, "0"),
        (BadReply::WrongSnapshot, http::SNAPSHOT, "1.1"),
    ] {
        backend.set_behaviour(Behaviour {
            bad_reply_per_mille: 1_000,
            bad_reply,
            ..Behaviour::default()
        });
        let reply = attempt(&client, &host, "a", "Search")
            .send()
            .await
            .expect("reply");
        assert_ne!(header(&reply, name), right);
    }
}
