//! Calls of generated clients, against a server that answers as an agent does.

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

/// What the server saw of a call.
#[derive(Clone, Debug, Default)]
struct Seen {
    path: String,
    headers: HeaderMap,
    body: Vec<u8>,
}

/// Answers every call with the same bytes.
struct FixedAnswer {
    content_type: &'static str,
    status: StatusCode,
    answer: Vec<u8>,
    seen: Arc<Mutex<Seen>>,
}

#[async_trait]
impl Handler for FixedAnswer {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let body = request.payload().await.expect("the body arrives").to_vec();
        *self.seen.lock().expect("not poisoned") = Seen {
            path: request.uri().path().to_owned(),
            headers: request.headers().clone(),
            body,
        };
        response.status_code(self.status);
        let content_type = HeaderValue::from_static(self.content_type);
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
            .write_body(self.answer.clone())
            .expect("the body was not set");
    }
}

/// A client of a server that gives a fixed answer, and what the server sees.
async fn portal(
    status: StatusCode,
    content_type: &'static str,
    answer: Vec<u8>,
) -> (OrderingPortalClient, Arc<Mutex<Seen>>) {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let handler = FixedAnswer {
        content_type,
        status,
        answer,
        seen: Arc::clone(&seen),
    };
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address: SocketAddr = salvo::conn::Acceptor::holdings(&acceptor)[0]
        .local_addr
        .clone()
        .into_std()
        .expect("an IP address");
    let router = Router::with_path("{**rest}").goal(handler);
    tokio::spawn(Server::new(acceptor).serve(router));
    let agent = AgentConnection::new(address).expect("no settings are wrong");
    (OrderingPortalClient::new(agent), seen)
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

fn header(seen: &Seen, name: &str) -> Option<String> {
    let value = seen.headers.get(name)?;
    Some(value.to_str().expect("text").to_owned())
}

#[tokio::test]
async fn a_query_carries_its_request_and_brings_back_the_whole_envelope() {
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
    let (portal, seen) = portal(StatusCode::OK, http::CONTENT_TYPE_PROTOBUF, bytes).await;
    let request = SearchStockRequest {
        text: "pasta".to_owned(),
        ..SearchStockRequest::default()
    };
    let answer = portal
        .search_stock(&request, CallOptions::default())
        .await
        .expect("an answer");
    assert_eq!(answer.body, Some(reply));
    assert_eq!(answer.coverage, sent.coverage);
    assert_eq!(answer.snapshot, sent.snapshot);
    assert_eq!(answer.configuration, sent.configuration);
    let seen = seen.lock().expect("not poisoned").clone();
    assert_eq!(seen.path, "/trinacria.OrderingPortal/SearchStock");
    assert_eq!(seen.body, request.encode_to_vec());
    assert_eq!(header(&seen, http::DEADLINE_MS).as_deref(), Some("500"));
    assert_eq!(header(&seen, http::REQUEST_ID), None);
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_carries_its_key() {
    let bytes = ProtobufEnvelope::from(envelope(None)).to_bytes();
    let (portal, seen) = portal(StatusCode::OK, http::CONTENT_TYPE_PROTOBUF, bytes).await;
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
        let answer = portal.reserve_pallet(&key, &request, options).await;
        assert_eq!(answer.expect("an answer").body, None);
        let seen = seen.lock().expect("not poisoned").clone();
        assert_eq!(header(&seen, http::CALLER).as_deref(), Some("pantry-2"));
        let request_id = header(&seen, http::REQUEST_ID);
        assert_eq!(request_id.as_deref(), Some("reservation-118"));
        assert_eq!(header(&seen, http::ISSUED_AT_MS).as_deref(), Some("1234"));
        assert_eq!(header(&seen, http::DEADLINE_MS).as_deref(), Some("750"));
        assert_eq!(header(&seen, http::RESEND).is_some(), key.resend);
    }
}

#[tokio::test]
async fn a_refusal_is_an_answer() {
    let refusal = Envelope {
        outcome: Outcome::NotRun,
        reason: Some("the service is pressed".to_owned()),
        retry_after_ms: Some(250),
        ..envelope(None)
    };
    let bytes = ProtobufEnvelope::from(refusal).to_bytes();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let (portal, _) = portal(status, http::CONTENT_TYPE_PROTOBUF, bytes).await;
    let answer = portal
        .search_stock(&SearchStockRequest::default(), CallOptions::default())
        .await
        .expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.retry_after_ms, Some(250));
}

#[tokio::test]
async fn an_answer_that_cannot_be_read_may_mean_that_the_request_ran() {
    let ok = StatusCode::OK;
    let broken_body = ProtobufEnvelope::from(envelope(Some(vec![0xff]))).to_bytes();
    let answers = [
        (ok, http::CONTENT_TYPE_PROTOBUF, vec![0xff]),
        (ok, http::CONTENT_TYPE_PROTOBUF, broken_body),
        (StatusCode::BAD_GATEWAY, "text/plain", b"oops".to_vec()),
    ];
    for (status, content_type, bytes) in answers {
        let (portal, _) = portal(status, content_type, bytes).await;
        let answer = portal
            .search_stock(&SearchStockRequest::default(), CallOptions::default())
            .await;
        let error = answer.expect_err("no answer that can be read");
        assert!(error.may_have_run(), "{error}");
    }
}

#[tokio::test]
async fn an_agent_that_does_not_listen_ran_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let agent = AgentConnection::new(address).expect("no settings are wrong");
    let answer = OrderingPortalClient::new(agent)
        .search_stock(&SearchStockRequest::default(), CallOptions::default())
        .await;
    let error = answer.expect_err("nobody listens");
    assert!(matches!(error, CallError::Connect { .. }), "{error}");
    assert!(!error.may_have_run());
}
