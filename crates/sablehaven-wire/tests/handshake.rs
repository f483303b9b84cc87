//! Tests that the handshake rejects incompatible peers and names the reason.

use std::net::SocketAddr;

use sablehaven_wire::{
    AgentToRelay, Connection, Hello, MAXIMUM_FRAME_BYTES, PROTOCOL_VERSION, RelayToAgent, Role,
    WireError, accept, connect, connect_from,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

type AgentSide = Connection<RelayToAgent, AgentToRelay>;

fn hello(role: Role) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        deployment: "trinacria".to_owned(),
        role,
        sender: "someone".to_owned(),
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Performs one handshake. Returns the result of the connecting side, and whether the other side accepted.
async fn handshake(
    client_hello: Hello,
    server_hello: Hello,
) -> (Result<AgentSide, WireError>, bool) {
    let (listener, address) = listener().await;
    let server = async {
        let (stream, peer) = listener.accept().await.expect("accept");
        accept(stream, peer, &server_hello).await
    };
    let client = connect(address, &client_hello, Role::Relay);
    let (accepted, connected) = tokio::join!(server, client);
    (connected, accepted.is_ok())
}

fn refusal_reason(result: Result<AgentSide, WireError>) -> String {
    match result {
        Err(WireError::Refused { reason, .. }) => reason,
        Err(other) => panic!("expected a refusal, got: {other}"),
        Ok(_) => panic!("not refused"),
    }
}

#[tokio::test]
async fn peers_with_equal_version_and_deployment_connect() {
    let (connected, accepted) = handshake(hello(Role::Agent), hello(Role::Relay)).await;
    assert!(connected.is_ok());
    assert!(accepted);
}

#[tokio::test]
async fn a_different_protocol_version_is_refused_by_both_sides() {
    let mut server_hello = hello(Role::Relay);
    server_hello.protocol_version = PROTOCOL_VERSION + 1;
    let (connected, accepted) = handshake(hello(Role::Agent), server_hello).await;
    let expected = format!("protocol version {}", PROTOCOL_VERSION + 1);
    assert!(refusal_reason(connected).contains(&expected));
    assert!(!accepted);
}

#[tokio::test]
async fn a_different_deployment_is_refused_by_both_sides() {
    let mut server_hello = hello(Role::Relay);
    server_hello.deployment = "tareas".to_owned();
    let (connected, accepted) = handshake(hello(Role::Agent), server_hello).await;
    assert!(refusal_reason(connected).contains("'tareas'"));
    assert!(!accepted);
}

#[tokio::test]
async fn an_unexpected_role_is_refused() {
    let (connected, _) = handshake(hello(Role::Agent), hello(Role::Control)).await;
    assert!(refusal_reason(connected).contains("Control"));
}

#[tokio::test]
async fn a_silent_peer_causes_a_handshake_timeout() {
    let (_listener, address) = listener().await;
    let result: Result<AgentSide, _> = connect(address, &hello(Role::Agent), Role::Relay).await;
    assert!(matches!(result, Err(WireError::HandshakeTimeout { .. })));
}

#[tokio::test]
async fn the_error_for_a_closed_port_names_the_address() {
    let (listener, address) = listener().await;
    drop(listener);
    let result: Result<AgentSide, _> = connect(address, &hello(Role::Agent), Role::Relay).await;
    let error = result.err().expect("no listener").to_string();
    assert!(error.contains(&address.to_string()), "{error}");
}

/// Returns the error of `accept` for a peer that sends `bytes` and closes the connection.
async fn accept_error(bytes: &[u8]) -> WireError {
    let (listener, address) = listener().await;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    stream.shutdown().await.expect("shutdown");
    let (accepted, peer) = listener.accept().await.expect("accept");
    match accept(accepted, peer, &hello(Role::Relay)).await {
        Err(error) => error,
        Ok(_) => panic!("accepted {bytes:?}"),
    }
}

#[tokio::test]
async fn an_oversized_first_frame_is_refused_before_its_content_is_read() {
    let length = (MAXIMUM_FRAME_BYTES as u32) - 1;
    let error = accept_error(&length.to_be_bytes()).await;
    assert!(error.to_string().contains("frame size too big"), "{error}");
}

#[tokio::test]
async fn a_truncated_frame_is_an_error() {
    let error = accept_error(&[0, 0, 0, 20, 1, 2, 3]).await;
    assert!(matches!(error, WireError::Receive { .. }), "{error}");
}

#[tokio::test]
async fn a_first_frame_that_is_not_a_hello_is_an_error() {
    let error = accept_error(&[0, 0, 0, 2, 0x92, 0x01]).await;
    assert!(matches!(error, WireError::Decode { .. }), "{error}");
}

#[tokio::test]
async fn a_peer_that_closes_immediately_is_an_error() {
    let error = accept_error(&[]).await;
    assert!(matches!(error, WireError::Closed { .. }), "{error}");
}

#[tokio::test]
async fn a_connection_is_made_from_the_given_local_address() {
    let (listener, address) = listener().await;
    let local_ip: std::net::IpAddr = "127.0.0.9".parse().expect("IP address");
    let server_hello = hello(Role::Relay);
    let server = async {
        let (stream, peer) = listener.accept().await.expect("accept");
        accept(stream, peer, &server_hello)
            .await
            .expect("handshake");
        peer
    };
    let client_hello = hello(Role::Agent);
    let client = connect_from::<RelayToAgent, AgentToRelay>(
        Some(local_ip),
        address,
        &client_hello,
        Role::Relay,
    );
    let (peer_address, connected) = tokio::join!(server, client);
    connected.expect("connect");
    assert_eq!(peer_address.ip(), local_ip);
}
