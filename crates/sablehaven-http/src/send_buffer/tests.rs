//! Tests of responses that do not fit into the usual send buffer, over loopback.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, body::Incoming};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

use super::{EnlargedBuffer, Phase, SLOW_TIME};
use crate::{
    BudgetUse, ClientBudget, ClientLimits, ConnectionLimits, ServerSignals, WholeBody,
    accept_connections, listen,
};

/// Size of a response that no buffer of the system holds here, in bytes.
const LONG_RESPONSE_BYTES: usize = 2_000_000;
/// What a slow client takes at a time, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Size of a response that fits into a buffer that is enlarged once, but not into the usual one, in bytes.
const MEDIUM_RESPONSE_BYTES: usize = 60_000;
/// Receive buffer of the clients, in bytes.
const CLIENT_BUFFER_BYTES: u32 = 16 * 1024;
/// Idle timeout of connections that must not be closed for it.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
/// More than the bodies of all tests need, in bytes.
const AMPLE_MEMORY: usize = 64 * 1024 * 1024;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A server that answers each request with as many bytes as its path says.
struct TestServer {
    address: SocketAddr,
    budget: ClientBudget,
}

impl TestServer {
    fn start(body_bytes: usize, idle_timeout: Duration) -> Self {
        let budget = ClientBudget::new(ClientLimits {
            max_connections: 100,
            connection_bytes: 100 * 1024 * 1024,
            body_bytes,
            max_probe_connections: 1,
            socket_buffer_bytes: 16 * 1024,
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = listen(address, 16 * 1024).expect("listen");
        let address = listener.local_addr().expect("an address");
        let limits = ConnectionLimits {
            max_header_bytes: 16 * 1024,
            header_timeout: WAIT_TIMEOUT,
            idle_timeout,
        };
        let handler = |_, request: Request<Incoming>| async move {
            let length = request.uri().path()[1..].parse().expect("a length");
            Response::new(WholeBody::new(Bytes::from(vec![b'a'; length])))
        };
        let share = budget.listener(2);
        let signals = ServerSignals::default();
        spawn_local(accept_connections(
            listener,
            move || limits,
            share,
            signals,
            handler,
        ));
        Self { address, budget }
    }

    /// Asks for a response, none of which is read yet.
    async fn ask(&self, length: usize, connection: &str) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        let size = CLIENT_BUFFER_BYTES;
        socket.set_recv_buffer_size(size).expect("an option");
        let mut stream = socket.connect(self.address).await.expect("connect");
        let request = format!("GET /{length} HTTP/1.1\r\nconnection: {connection}\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("send");
        stream
    }

    /// Asks for a long response, and waits until the buffer is enlarged for it.
    async fn ask_long(&self) -> TcpStream {
        let stream = self.ask(LONG_RESPONSE_BYTES, "keep-alive").await;
        self.wait_until("the larger buffer is held", |usage| {
            usage.body_bytes > LONG_RESPONSE_BYTES
        })
        .await;
        stream
    }

    async fn wait_until(&self, what: &str, check: impl Fn(BudgetUse) -> bool) {
        let waiting = async {
            while !check(self.budget.usage()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let waited = timeout(WAIT_TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "{what}: {:?}", self.budget.usage());
    }
}

async fn read_response(stream: &mut TcpStream, length: usize) {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.expect("a response");
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against long responses being sent at the rate of one small buffer for each delayed acknowledgement.
#[test]
fn the_buffer_is_enlarged_for_a_long_response_and_counted_until_it_is_sent() {
    run_test(async {
        let server = TestServer::start(AMPLE_MEMORY, LONG_TIMEOUT);
        let mut stream = server.ask_long().await;
        read_response(&mut stream, LONG_RESPONSE_BYTES).await;
        server
            .wait_until("all is released beside an idle connection", |usage| {
                (usage.body_bytes, usage.connections) == (0, 1)
            })
            .await;
    });
}

#[test]
fn a_long_response_is_complete_without_memory_for_a_larger_buffer() {
    run_test(async {
        let server = TestServer::start(LONG_RESPONSE_BYTES, LONG_TIMEOUT);
        let mut stream = server.ask(LONG_RESPONSE_BYTES, "close").await;
        server
            .wait_until("the response is held", |usage| usage.body_bytes > 0)
            .await;
        let mut bytes = vec![0; 32 * 1024];
        while stream.read(&mut bytes).await.expect("a response") > 0 {
            assert!(server.budget.usage().body_bytes <= LONG_RESPONSE_BYTES);
        }
        server
            .wait_until("all is released", |usage| {
                (usage.body_bytes, usage.connections) == (0, 0)
            })
            .await;
        assert_eq!(server.budget.usage().closed_connections, 0);
    });
}

#[test]
fn a_client_that_takes_its_response_steadily_gets_all_of_it() {
    run_test(async {
        let idle_timeout = Duration::from_secs(2);
        let server = TestServer::start(AMPLE_MEMORY, idle_timeout);
        let mut stream = server.ask(LONG_RESPONSE_BYTES, "close").await;
        let started = Instant::now();
        let mut received = 0;
        let mut bytes = vec![0; 32 * 1024];
        loop {
            let length = stream.read(&mut bytes).await.expect("a response");
            if length == 0 {
                break;
            }
            received += length;
            sleep(Duration::from_millis(50)).await;
        }
        assert!(received > LONG_RESPONSE_BYTES, "{received} bytes");
        assert!(started.elapsed() > idle_timeout);
    });
}

/// Guards against slow clients being disconnected because of a buffer that takes long to empty.
#[test]
fn the_buffer_of_a_slow_client_is_reduced_while_its_response_is_written() {
    run_test(async {
        let server = TestServer::start(AMPLE_MEMORY, LONG_TIMEOUT);
        let mut stream = server.ask_long().await;
        sleep(SLOW_TIME).await;
        let mut taken = 0;
        while server.budget.usage().body_bytes > LONG_RESPONSE_BYTES {
            read_response(&mut stream, READ_BYTES).await;
            taken += READ_BYTES;
            sleep(Duration::from_millis(10)).await;
        }
        read_response(&mut stream, LONG_RESPONSE_BYTES - taken).await;
        server
            .wait_until("all is released", |usage| usage.body_bytes == 0)
            .await;
    });
}

#[test]
fn a_client_that_takes_nothing_of_the_rest_is_disconnected() {
    for connection in ["close", "keep-alive"] {
        run_test(async {
            let server = TestServer::start(AMPLE_MEMORY, SHORT_TIMEOUT);
            let mut stream = server.ask(MEDIUM_RESPONSE_BYTES, connection).await;
            server
                .wait_until("the response is written, but not sent", |usage| {
                    usage.body_bytes > 0 && usage.body_bytes < 2 * MEDIUM_RESPONSE_BYTES
                })
                .await;
            server
                .wait_until("the connection is closed", |usage| {
                    (usage.body_bytes, usage.connections) == (0, 0)
                })
                .await;
            let mut bytes = Vec::new();
            let error = stream.read_to_end(&mut bytes).await.expect_err("an error");
            assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        });
    }
}

/// Without the reset, the system would go on holding what the closed connection has not sent.
#[test]
fn what_a_connection_has_not_sent_is_discarded_when_it_makes_room() {
    run_test(async {
        let server = TestServer::start(AMPLE_MEMORY, LONG_TIMEOUT);
        let mut first = server.ask_long().await;
        let mut others = Vec::new();
        for _ in 0..2 {
            let mut other = server.ask(1, "keep-alive").await;
            read_response(&mut other, 1).await;
            others.push(other);
        }
        let mut bytes = Vec::new();
        let error = first.read_to_end(&mut bytes).await.expect_err("an error");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        assert_eq!(server.budget.usage().body_bytes, 0);
    });
}

/// Guards against clients that lose what they have received but not yet read.
#[test]
fn a_connection_that_has_sent_everything_is_not_reset_when_it_makes_room() {
    run_test(async {
        let server = TestServer::start(AMPLE_MEMORY, LONG_TIMEOUT);
        let mut others = Vec::new();
        for _ in 0..3 {
            let mut other = server.ask(1, "keep-alive").await;
            read_response(&mut other, 1).await;
            others.push(other);
        }
        let mut bytes = Vec::new();
        let ended = others[0].read_to_end(&mut bytes).await;
        assert!(ended.is_ok(), "{ended:?}");
    });
}

/// Guards against a loop without an end if the client takes the rest just before the buffer is reduced in steps.
#[test]
fn a_buffer_that_has_emptied_is_reduced_in_steps_to_its_usual_size() {
    run_test(async {
        let server = TestServer::start(AMPLE_MEMORY, LONG_TIMEOUT);
        let stream = server.ask(1, "keep-alive").await;
        let slot = server.budget.listener(1).open(0).await.expect("a slot");
        let usual_bytes = 32 * 1024;
        let mut enlarged = EnlargedBuffer {
            usual_bytes,
            bytes: 5 * usual_bytes / 4,
            held: slot.client().hold_nothing(),
            phase: Phase::Draining,
        };
        enlarged.reduce_in_steps(slot.client(), &stream);
        assert_eq!(enlarged.bytes, usual_bytes);
    });
}
