//! Tests of calls with generated clients, against a server that takes the place of an agent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use sablehaven_client::{
    AgentConnection, CallError, CallOptions, CallerId, ConfigurationAge, Coverage, Envelope,
    Outcome, RequestId, RequestKey, ShardId, SnapshotId,
    prost::Message,
    trinacria::{
        OrderingPortalClient, ReservePalletRequest, SearchStockReply, SearchStockRequest,
        StockMatch,
    },
};
use sablehaven_types::{http, protobuf::ProtobufEnvelope};
use salvo::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
    conn::TcpListener,
    http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE},
};

/// A request as the server received it.
#[derive(Clone, Debug, Default)]
struct ReceivedRequest {
    path: String,
    headers: HeaderMap,
    body: Vec<u8>,
}

/// Handler that sends the same response to every call and stores the last request.
struct FixedResponse {
    content_type: &'static str,
    status: StatusCode,
    body: Vec<u8>,
    received: Arc<Mutex<ReceivedRequest>>,
}

#[async_trait]
impl Handler for FixedResponse {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let body = request
            .payload()
            .await
            .expect("the body is received")
            .to_vec();
        *self.received.lock().expect("not poisoned") = ReceivedRequest {
            path: request.uri().path().to_owned(),
            headers: request.headers().clone(),
            body,
        };
        response.status_code(self.status);
        let content_type = HeaderValue::from_static(self.content_type);
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
            .write_body(self.body.clone())
            .expect("the body was not set");
    }
}

/// Starts a server with a fixed response and returns a client of it and the request that the server
/// receives.
async fn portal_with_response(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> (OrderingPortalClient, Arc<Mutex<ReceivedRequest>>) {
    let received = Arc::new(Mutex::new(ReceivedRequest::default()));
    let handler = FixedResponse {
        content_type,
        status,
        body,
        received: Arc::clone(&received),
    };
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address: SocketAddr = salvo::conn::Acceptor::holdings(&acceptor)[0]
        .local_addr
        .clone()
        .into_std()
        .expect("an IP address");
    let router = Router::with_path("{**rest}").goal(handler);
    tokio::spawn(Server::new(acceptor).serve(router));
    let agent = AgentConnection::new(address).expect("the client settings are valid");
    (OrderingPortalClient::new(agent), received)
}

fn envelope(body: Option<Vec<u8>>) -> Envelope<Vec<u8>> {
    Envelope {
        outcome: Outcome::Done,
        reason: None,
        snapshot: Some(SnapshotId {
            generation: 3,
            partition_map: 1,
        }),
        coverage: Some(Coverage {
            answered: vec![ShardId(0)],
            missing: Vec::new(),
        }),
        configuration: ConfigurationAge {
            version: 5,
            current: true,
            age_ms: 7,
        },
        retry_after_ms: None,
        body,
    }
}

fn header(received: &ReceivedRequest, name: &str) -> Option<String> {
    let value = received.headers.get(name)?;
    Some(value.to_str().expect("text").to_owned())
}

#[tokio::test]
async fn query_sends_its_request_and_returns_the_whole_envelope() {
    let reply = SearchStockReply {
        matches: vec![StockMatch {
            depot_id: "depot-7".to_owned(),
            quantity_kg: 40,
            ..StockMatch::default()
        }],
        depots_with_stock: 1,
        total_quantity_kg: 40,
    };
    let sent = envelope(Some(reply.encode_to_vec()));
    let bytes = ProtobufEnvelope::from(sent.clone()).to_bytes();
    let (portal, received) =
        portal_with_response(StatusCode::OK, http::CONTENT_TYPE_PROTOBUF, bytes).await;
    let request = SearchStockRequest {
        text: "pasta".to_owned(),
        ..SearchStockRequest::default()
    };
    let response = portal
        .search_stock(&request, CallOptions::default())
        .await
        .expect("a response");
    assert_eq!(response.body, Some(reply));
    assert_eq!(response.coverage, sent.coverage);
    assert_eq!(response.snapshot, sent.snapshot);
    assert_eq!(response.configuration, sent.configuration);
    let received = received.lock().expect("not poisoned").clone();
    assert_eq!(received.path, "/trinacria.OrderingPortal/SearchStock");
    assert_eq!(received.body, request.encode_to_vec());
    assert_eq!(header(&received, http::DEADLINE_MS).as_deref(), Some("500"));
    assert_eq!(header(&received, http::REQUEST_ID), None);
}

#[tokio::test]
async fn at_most_once_request_sends_its_key() {
    let bytes = ProtobufEnvelope::from(envelope(None)).to_bytes();
    let (portal, received) =
        portal_with_response(StatusCode::OK, http::CONTENT_TYPE_PROTOBUF, bytes).await;
    let key = RequestKey {
        caller: CallerId::from("pantry-2"),
        request: RequestId::from("reservation-118"),
        issued_at_ms: 1_234,
        resend: false,
    };
    let options = CallOptions {
        deadline_ms: Some(750),
    };
    for key in [key.clone(), key.resend()] {
        let request = ReservePalletRequest::default();
        let response = portal.reserve_pallet(&key, &request, options).await;
        assert_eq!(response.expect("a response").body, None);
        let received = received.lock().expect("not poisoned").clone();
        assert_eq!(header(&received, http::CALLER).as_deref(), Some("pantry-2"));
        let request_id = header(&received, http::REQUEST_ID);
        assert_eq!(request_id.as_deref(), Some("reservation-118"));
        assert_eq!(
            header(&received, http::ISSUED_AT_MS).as_deref(),
            Some("1234")
        );
        assert_eq!(header(&received, http::DEADLINE_MS).as_deref(), Some("750"));
        assert_eq!(header(&received, http::RESEND).is_some(), key.resend);
    }
}

#[tokio::test]
async fn refusal_is_returned_as_a_response() {
    let refusal = Envelope {
        outcome: Outcome::NotRun,
        reason: Some("the service is pressed".to_owned()),
        retry_after_ms: Some(250),
        ..envelope(None)
    };
    let bytes = ProtobufEnvelope::from(refusal).to_bytes();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let (portal, _) = portal_with_response(status, http::CONTENT_TYPE_PROTOBUF, bytes).await;
    let response = portal
        .search_stock(&SearchStockRequest::default(), CallOptions::default())
        .await
        .expect("a response");
    assert_eq!(response.outcome, Outcome::NotRun);
    assert_eq!(response.retry_after_ms, Some(250));
}

#[tokio::test]
async fn request_may_have_run_if_the_response_is_unreadable() {
    let ok = StatusCode::OK;
    let broken_body = ProtobufEnvelope::from(envelope(Some(vec![0xff]))).to_bytes();
    let responses = [
        (ok, http::CONTENT_TYPE_PROTOBUF, vec![0xff]),
        (ok, http::CONTENT_TYPE_PROTOBUF, broken_body),
        (StatusCode::BAD_GATEWAY, "text/plain", b"oops".to_vec()),
    ];
    for (status, content_type, bytes) in responses {
        let (portal, _) = portal_with_response(status, content_type, bytes).await;
        let response = portal
            .search_stock(&SearchStockRequest::default(), CallOptions::default())
            .await;
        let error = response.expect_err("the response is unreadable");
        assert!(error.may_have_run(), "{error}");
    }
}

#[tokio::test]
async fn request_has_not_run_if_the_connection_fails() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let agent = AgentConnection::new(address).expect("the client settings are valid");
    let response = OrderingPortalClient::new(agent)
        .search_stock(&SearchStockRequest::default(), CallOptions::default())
        .await;
    let error = response.expect_err("no process listens");
    assert!(matches!(error, CallError::Connect { .. }), "{error}");
    assert!(!error.may_have_run());
}
