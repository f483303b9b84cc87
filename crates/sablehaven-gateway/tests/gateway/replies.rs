//! Tests that the gateway accepts a server's reply only if it is complete, signed and belongs to the request.

use hyper::StatusCode;
use sablehaven_standins::routed::{Behaviour, EndlessPart};
use sablehaven_types::RequestKind;

use crate::support::routes::service_route;
use crate::support::{Response, TestBed, run_test, wait_until};

/// Checks that the caller gets the good reply of the far server and no part of the bad reply of the near one.
async fn assert_never_forwarded(bad_reply: Behaviour) {
    let mut bed = TestBed::new().await;
    bed.add_servers("search", &[bad_reply.clone(), Behaviour::answer("good")])
        .await;
    bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
        .await;
    for number in 0..4 {
        let response = bed.get(&format!("{number}"), "/q/x").await;
        assert_eq!(response.status, StatusCode::OK, "{bad_reply:?}");
        assert_eq!(&response.body[..], b"good", "{bad_reply:?}");
        assert!(
            response
                .header("sablehaven-stamp")
                .is_some_and(|stamp| stamp.starts_with("search-1"))
        );
    }
}

#[test]
fn bad_replies_are_never_forwarded() {
    let bad_replies = [
        Behaviour::CutOff,
        Behaviour::Reset,
        Behaviour::Close,
        Behaviour::Garbage,
        Behaviour::UnframedReset,
        Behaviour::OtherRequest,
        Behaviour::Encoded,
        Behaviour::Unsigned,
        Behaviour::Shed,
        Behaviour::Misdirected,
        Behaviour::Unavailable,
        Behaviour::Fail,
        Behaviour::Silent,
    ];
    for bad_reply in bad_replies {
        run_test(assert_never_forwarded(bad_reply));
    }
}

#[test]
fn complete_bodies_of_every_framing_are_forwarded_unchanged() {
    let body = b"a body of some length".to_vec();
    let framings = [
        Behaviour::answer(body.clone()),
        Behaviour::Chunked { body: body.clone() },
        Behaviour::Unframed { body: body.clone() },
    ];
    for framing in framings {
        let body = body.clone();
        run_test(async move {
            let mut bed = TestBed::new().await;
            bed.add_servers("search", std::slice::from_ref(&framing))
                .await;
            bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
                .await;
            for number in 0..3 {
                let response = bed.get(&format!("{number}"), "/q/x").await;
                assert_eq!(response.status, StatusCode::OK, "{framing:?}");
                assert_eq!(response.body[..], body[..], "{framing:?}");
            }
        });
    }
}

#[test]
fn a_surplus_response_is_assigned_to_no_request() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let surplus = Behaviour::Surplus {
            body: b"mine".to_vec(),
        };
        bed.add_servers("search", &[surplus]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..20 {
            let response = bed.get(&format!("{number}"), "/q/x").await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(&response.body[..], b"mine");
        }
    });
}

#[test]
fn an_error_response_of_a_server_is_forwarded_unchanged() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::Fail, Behaviour::Fail])
            .await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let response = bed.get("1", "/q/x").await;
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(&response.body[..], b"failed");
        assert!(response.header("sablehaven-stamp").is_some());
    });
}

#[test]
fn a_request_is_forwarded_unchanged_except_for_hop_by_hop_and_forged_headers() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::answer("ok")]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let headers = [
            ("x-own", "kept"),
            ("connection", "x-hop"),
            ("x-hop", "dropped"),
            ("sablehaven-deadline-ms", "900"),
            ("sablehaven-expect-instance", "forged"),
        ];
        let response = bed
            .send("id-7", "POST", "/q/a%20b?c=%2F&d", &headers, "the body")
            .await;
        assert_eq!(response.status, StatusCode::OK);
        let seen = bed.server("search", 0).seen();
        let seen = &seen[0];
        assert_eq!(seen.method, "POST");
        assert_eq!(seen.target, "/q/a%20b?c=%2F&d");
        assert_eq!(seen.body, b"the body");
        assert_eq!(seen.header("sablehaven-request-id"), Some("id-7"));
        assert_eq!(seen.header("x-own"), Some("kept"));
        assert_eq!(seen.header("x-hop"), None);
        assert_eq!(seen.header("sablehaven-expect-instance"), Some("search-0"));
        let time_left_ms: u64 = seen
            .header("sablehaven-deadline-ms")
            .and_then(|text| text.parse().ok())
            .expect("a deadline");
        assert!((1..=900).contains(&time_left_ms), "{time_left_ms}");
    });
}

/// Sends a request that may run once to a server with this behaviour, the second time on a connection that has carried
/// a request before, and returns both responses.
async fn ask_once(behaviour: Behaviour) -> [Response; 2] {
    let mut bed = TestBed::new().await;
    bed.add_servers("once", std::slice::from_ref(&behaviour))
        .await;
    let route = service_route("/o/", RequestKind::NonIdempotent, "once");
    bed.apply_routes(1, vec![route]).await;
    let on_new = bed.get("1", "/o/x").await;
    bed.server("once", 0).set(Behaviour::answer("whole"));
    let whole = bed.get("2", "/o/x").await;
    assert_eq!(&whole.body[..], b"whole", "{behaviour:?}");
    bed.server("once", 0).set(behaviour);
    let on_reused = bed.get("3", "/o/x").await;
    wait_until("the gateway closes the connection", || {
        bed.server("once", 0).open_connections() == 0
    })
    .await;
    assert_eq!(bed.arrivals("once"), 3);
    [on_new, on_reused]
}

/// Guards against requests that are held, and servers that are kept busy, by bytes that follow without end.
#[test]
fn an_answer_without_end_is_given_up_before_the_deadline() {
    let endless_parts = [
        EndlessPart::HeaderValue,
        EndlessPart::Headers,
        EndlessPart::InterimResponses,
        EndlessPart::UnframedBody,
        EndlessPart::ChunkedBody,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailers,
    ];
    for part in endless_parts {
        run_test(async {
            for response in ask_once(Behaviour::Endless(part)).await {
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{part:?}");
            }
        });
        run_test(assert_never_forwarded(Behaviour::Endless(part)));
    }
}

/// Guards against connections that stay open, and keep their server busy, after a whole answer.
#[test]
fn a_connection_with_bytes_without_end_after_the_answer_is_closed() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let surplus = Behaviour::Endless(EndlessPart::AfterAnswer);
        bed.add_servers("once", &[surplus]).await;
        let route = service_route("/o/", RequestKind::NonIdempotent, "once");
        bed.apply_routes(1, vec![route]).await;
        let response = bed.get("1", "/o/x").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(&response.body[..], b"answer");
        wait_until("the gateway closes the connection", || {
            bed.server("once", 0).open_connections() == 0
        })
        .await;
    });
}

/// Guards against statuses that no answer has, such as 000 or 101, being forwarded as if the server had answered.
#[test]
fn an_answer_with_an_invalid_status_is_not_forwarded() {
    for status in [
        "000 Trouble",
        "099 Trouble",
        "101 Switching Protocols",
        "600 Trouble",
        "999 Trouble",
    ] {
        run_test(async {
            for response in ask_once(Behaviour::Status { status }).await {
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}");
                assert_eq!(response.header("sablehaven-stamp"), None, "{status}");
            }
        });
        run_test(assert_never_forwarded(Behaviour::Status { status }));
    }
}

/// Guards against a head that the server cut off being taken for a whole answer with an empty or short body.
#[test]
fn an_answer_that_ends_within_its_head_is_not_forwarded() {
    run_test(async {
        // Most requests fail, which must not lead to refusals.
        let mut bed = TestBed::with(|config| config.max_throttled = 0.0).await;
        bed.add_servers("once", &[Behaviour::answer("")]).await;
        let route = service_route("/o/", RequestKind::NonIdempotent, "once");
        bed.apply_routes(1, vec![route]).await;
        let server = bed.server("once", 0);
        let mut length = 0;
        // Each request has a path of its own, since one under which connections are lost is suspected of crashing
        // servers.
        loop {
            server.set(Behaviour::answer(""));
            let whole = bed.get("a", &format!("/o/whole/{length}")).await;
            assert_eq!(whole.status, StatusCode::OK);
            server.set(Behaviour::CutAfter { length });
            let on_reused = bed.get("a", &format!("/o/reused/{length}")).await;
            let on_new = bed.get("a", &format!("/o/new/{length}")).await;
            assert_eq!(on_reused.status, on_new.status, "{length} bytes");
            if on_new.status == StatusCode::OK {
                break;
            }
            assert_eq!(on_new.status, StatusCode::BAD_GATEWAY, "{length} bytes");
            length += 1;
        }
        let head = [
            "HTTP/1.1 200 OK",
            "sablehaven-request-id: a",
            "Content-Length: 0",
        ];
        let min_length = head.join("\r\n").len();
        assert!(length > min_length, "forwarded after {length} bytes");
    });
}

/// Guards against a header whose number is too large for a sum of times: the task that had the reply panicked, and the
/// caller got 502.
#[test]
fn replies_with_any_number_in_a_header_are_forwarded() {
    let digits = "9".repeat(400);
    let mut lines = Vec::new();
    for number in [
        "0",
        "-1",
        "18446744073709551615",
        "18446744073709551616",
        "1e999",
        &digits,
    ] {
        lines.push(format!("Keep-Alive: timeout={number}, max={number}"));
        lines.push(format!("Retry-After: {number}"));
        lines.push(format!("Age: {number}"));
        lines.push(format!("sablehaven-deadline-ms: {number}"));
    }
    for line in lines {
        run_test(async move {
            let mut bed = TestBed::new().await;
            bed.add_servers("search", &[Behaviour::HeaderLine { line: line.clone() }])
                .await;
            bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
                .await;
            for number in 0..2 {
                let response = bed.get(&format!("{number}"), "/q/x").await;
                assert_eq!(response.status, StatusCode::OK, "{line}");
                assert_eq!(&response.body[..], b"header", "{line}");
            }
        });
    }
}

/// Heads of messages that a faulty server may send beside its answers. None of them carries the ID of the request that
/// is open.
fn foreign_messages() -> Vec<Vec<u8>> {
    let mut messages = vec![b"HTTP/1.1 101 Switching Protocols\r\n\r\n".to_vec()];
    for status in [
        "200 OK",
        "400 Bad Request",
        "421 Misdirected Request",
        "429 Too Many Requests",
        "500 Internal Server Error",
        "503 Service Unavailable",
    ] {
        for id in ["", "sablehaven-request-id: earlier\r\n"] {
            for mark in ["", "sablehaven-not-executed: 1\r\n"] {
                let head =
                    format!("HTTP/1.1 {status}\r\n{id}{mark}sablehaven-stamp: foreign.1\r\n");
                messages.push(format!("{head}Content-Length: 7\r\n\r\nforeign").into_bytes());
            }
        }
    }
    messages
}

/// Sends a request that may run once on a connection that has carried a request before, and returns its response and
/// the number of servers that it has reached.
async fn ask_beside_foreign_bytes(bytes: &[u8], is_answered: bool) -> (Response, usize) {
    let mut bed = TestBed::new().await;
    let answers = [Behaviour::answer("own"), Behaviour::answer("own")];
    bed.add_servers("once", &answers).await;
    let route = service_route("/o/", RequestKind::NonIdempotent, "once");
    bed.apply_routes(1, vec![route]).await;
    let first = bed.get("earlier", "/o/first").await;
    assert_eq!(first.status, StatusCode::OK);
    for server in 0..2 {
        bed.server("once", server).set(Behaviour::Foreign {
            bytes: bytes.to_vec(),
            is_answered,
        });
    }
    let response = bed.get("own", "/o/second").await;
    (response, bed.arrivals("once") - 1)
}

/// Guards against bytes that pass for the answer to a request since they came in its place: a request that may run once
/// ran twice, and callers got the answers of others.
#[test]
fn bytes_without_the_id_of_a_request_are_not_its_answer() {
    for message in foreign_messages() {
        for is_answered in [true, false] {
            run_test(async {
                let shown = String::from_utf8_lossy(&message);
                let (response, arrivals) = ask_beside_foreign_bytes(&message, is_answered).await;
                assert_eq!(arrivals, 1, "{shown}");
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{shown}");
                assert_eq!(response.header("sablehaven-stamp"), None, "{shown}");
            });
        }
    }
}
