//! Tests of the HTTP interface for callers: encodings, refusals before anything runs, and statuses.

use prost_reflect::{DynamicMessage, Value};
use sablehaven_agent::Reason;
use sablehaven_schema::{DeploymentSchema, envelope::ProtobufEnvelope};
use sablehaven_types::{Outcome, http};
use serde_json::json;

use crate::support::{
    bed::{FIRST, TestBed},
    caller::{OnceRequest, send_request},
    schema::{FILE, TEXT, service},
};

#[tokio::test]
async fn a_body_that_does_not_match_the_schema_is_refused_with_the_field_name() {
    let bed = TestBed::start(2, 1).await;
    let agent = bed.start_agent().await;
    for (body, field) in [
        (json!({ "text": "oil", "pages": 3 }), "pages"),
        (json!({ "text": "oil", "page": "many" }), "page"),
        (json!({ "text": 7 }), "text"),
    ] {
        let answer = send_request(agent.caller.post("Search").json(&body)).await;
        assert_eq!(
            (answer.status, answer.envelope.outcome),
            (400, Outcome::NotRun)
        );
        assert!(answer.reason().contains(field), "{}", answer.reason());
    }
    let empty = send_request(agent.caller.post("Get").json(&json!({}))).await;
    assert_eq!(empty.status, 400);
    assert!(empty.reason().contains("id"), "{}", empty.reason());
    assert_eq!(bed.attempt_count(), 0);
}

#[tokio::test]
async fn an_invalid_body_of_a_once_request_reaches_neither_ledger_nor_back_end() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let request = agent.caller.reserve_request(&OnceRequest::unique());
    let answer = send_request(request.json(&json!({ "id": "p", "quantity": -1 }))).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (400, Outcome::NotRun)
    );
    assert!(answer.reason().contains("quantity"));
    assert!(bed.relay.lock().ledger.requests.is_empty());
    assert_eq!(bed.attempt_count(), 0);
}

#[tokio::test]
async fn a_once_request_requires_its_identifying_headers() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let without_headers = agent.caller.post("Reserve").json(&json!({ "id": "p" }));
    let mut request = without_headers;
    for header in [http::CALLER, http::REQUEST_ID, http::ISSUED_AT_MS] {
        let answer = send_request(request.try_clone().expect("a body that can be cloned")).await;
        assert_eq!(answer.status, 400);
        assert!(answer.reason().contains(header), "{}", answer.reason());
        request = request.header(header, "1");
    }
    assert!(bed.relay.lock().ledger.requests.is_empty());
}

#[tokio::test]
async fn a_protobuf_request_gets_a_protobuf_response() {
    let bed = TestBed::start(2, 1).await;
    let agent = bed.start_agent().await;
    let schema = DeploymentSchema::parse(FILE, TEXT).expect("valid");
    let method = schema.method(&service(), "Search").expect("Search");
    let mut message = DynamicMessage::new(method.input.clone());
    message.set_field_by_name("text", Value::String("oil".to_owned()));
    let request = agent
        .caller
        .post("Search")
        .header("content-type", http::CONTENT_TYPE_PROTOBUF)
        .body(prost::Message::encode_to_vec(&message));
    let response = request.send().await.expect("answered");
    assert_eq!(
        response.headers()["content-type"],
        http::CONTENT_TYPE_PROTOBUF
    );
    let bytes = response.bytes().await.expect("a complete body");
    let envelope = ProtobufEnvelope::read(&bytes).expect("an envelope");
    assert_eq!(envelope.outcome, Outcome::Done);
    assert_eq!(envelope.snapshot, Some(FIRST));
    let body = envelope.body.expect("a body");
    let reply = DynamicMessage::decode(method.output.clone(), body.as_slice()).expect("a reply");
    let total = reply.get_field_by_name("total").expect("total");
    assert_eq!(total.as_u64(), Some(2));
}

#[tokio::test]
async fn a_resend_in_another_encoding_is_the_same_request() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let first = agent.caller.reserve(&once).await;
    let schema = DeploymentSchema::parse(FILE, TEXT).expect("valid");
    let method = schema.method(&service(), "Reserve").expect("Reserve");
    let mut message = DynamicMessage::new(method.input.clone());
    message.set_field_by_name("id", Value::String(once.pallet_id.clone()));
    message.set_field_by_name("quantity", Value::U32(1));
    let request = agent
        .caller
        .reserve_request(&once.as_resend())
        .header("content-type", http::CONTENT_TYPE_PROTOBUF)
        .header("accept", http::CONTENT_TYPE_JSON);
    // Replaces the JSON body and the content type that the builder has set.
    let (client, request) = request.build_split();
    let mut request = request.expect("valid");
    let content_type = http::CONTENT_TYPE_PROTOBUF.parse().expect("a header value");
    request.headers_mut().insert("content-type", content_type);
    *request.body_mut() = Some(prost::Message::encode_to_vec(&message).into());
    let response = client.execute(request).await.expect("answered");
    let resent: sablehaven_types::Envelope<serde_json::Value> =
        serde_json::from_slice(&response.bytes().await.expect("a body")).expect("an envelope");
    assert_eq!(resent.outcome, Outcome::Done);
    assert_eq!(resent.body, first.envelope.body);
    assert_eq!(bed.attempt_count(), 1);
}

#[tokio::test]
async fn refusals_have_the_expected_http_statuses() {
    let bed = TestBed::start(1, 1).await;
    let mut config = bed.agent_config();
    config.limits.request_body_bytes = 100;
    let agent = bed.start_agent_with_config(config).await;
    let unknown = send_request(agent.caller.post("Nothing").json(&json!({}))).await;
    assert_eq!(
        (unknown.status, unknown.envelope.outcome),
        (404, Outcome::NotRun)
    );
    let text = agent
        .caller
        .post("Search")
        .header("content-type", "text/plain")
        .body("oil");
    assert_eq!(send_request(text).await.status, 415);
    let large = json!({ "text": "x".repeat(200) });
    assert_eq!(
        send_request(agent.caller.post("Search").json(&large))
            .await
            .status,
        413
    );
    for deadline in ["0", "60001", "soon"] {
        let request = agent.caller.post("Search").json(&json!({}));
        let answer = send_request(request.header(http::DEADLINE_MS, deadline)).await;
        assert_eq!(answer.status, 400, "{deadline}");
        assert!(answer.reason().contains(http::DEADLINE_MS));
    }
    assert_eq!(bed.attempt_count(), 0);
}

#[tokio::test]
async fn requests_are_refused_before_the_first_configuration() {
    let bed = TestBed::start(1, 1).await;
    let mut config = bed.agent_config();
    // Nothing listens on this port.
    config.subscription.relays = vec!["127.0.0.1:1".parse().expect("an address")];
    let telemetry = sablehaven_telemetry::Telemetry::new("agent");
    let handle = sablehaven_agent::start(config, telemetry.clone())
        .await
        .expect("starts");
    let address = handle.addresses().http.expect("listens");
    let caller = crate::support::caller::Caller::new(address);
    let answer = caller.search("oil").await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    assert!(answer.envelope.retry_after_ms.is_some());
    assert!(!telemetry.is_ready());
}

#[test]
fn a_refused_resend_is_not_reported_as_not_run() {
    assert_eq!(Reason::NoLease.outcome(), Outcome::NotRun);
    assert_eq!(Reason::NoLease.for_resend().outcome(), Outcome::Unknown);
    assert_eq!(Reason::InProgress.for_resend(), Reason::InProgress);
}

#[test]
fn unknown_maps_to_gateway_timeout_and_not_run_to_service_unavailable() {
    assert_eq!(Reason::SentWithoutReply.status().as_u16(), 504);
    assert_eq!(Reason::Overloaded.status().as_u16(), 503);
    assert_eq!(Reason::RequestIdReused.status().as_u16(), 409);
}
