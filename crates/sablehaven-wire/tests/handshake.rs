//! The handshake refuses what does not fit and says why.

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

/// Both sides' results of one handshake.
async fn shake(ours: Hello, theirs: Hello) -> (Result<AgentSide, WireError>, bool) {
    let (listener, address) = listener().await;
    let server = async {
        let (stream, peer) = listener.accept().await.expect("accept");
        accept(stream, peer, &theirs).await
    };
    let client = connect(address, &ours, Role::Relay);
    let (accepted, connected) = tokio::join!(server, client);
    (connected, accepted.is_ok())
}

fn refusal(result: Result<AgentSide, WireError>) -> String {
    match result {
        Err(WireError::Refused { reason, .. }) => reason,
        Err(other) => panic!("refused for another reason: {other}"),
        Ok(_) => panic!("not refused"),
    }
}

#[tokio::test]
async fn equal_versions_and_deployments_connect() {
    let (connected, accepted) = shake(hello(Role::Agent), hello(Role::Relay)).await;
    assert!(connected.is_ok());
    assert!(accepted);
}

#[tokio::test]
async fn another_protocol_version_is_refused_by_both() {
    let mut theirs = hello(Role::Relay);
    theirs.protocol_version = PROTOCOL_VERSION + 1;
    let (connected, accepted) = shake(hello(Role::Agent), theirs).await;
    let named = format!("protocol version {}", PROTOCOL_VERSION + 1);
    assert!(refusal(connected).contains(&named));
    assert!(!accepted);
}

#[tokio::test]
async fn another_deployment_is_refused_by_both() {
    let mut theirs = hello(Role::Relay);
    theirs.deployment = "tareas".to_owned();
    let (connected, accepted) = shake(hello(Role::Agent), theirs).await;
    assert!(refusal(connected).contains("'tareas'"));
    assert!(!accepted);
}

#[tokio::test]
async fn another_role_is_refused() {
    let (connected, _) = shake(hello(Role::Agent), hello(Role::Control)).await;
    assert!(refusal(connected).contains("Control"));
}

#[tokio::test]
async fn a_peer_that_says_nothing_is_given_up() {
    let (_listener, address) = listener().await;
    let result: Result<AgentSide, _> = connect(address, &hello(Role::Agent), Role::Relay).await;
    assert!(matches!(result, Err(WireError::HandshakeTimeout { .. })));
}

#[tokio::test]
async fn a_closed_port_is_named() {
    let (listener, address) = listener().await;
    drop(listener);
    let result: Result<AgentSide, _> = connect(address, &hello(Role::Agent), Role::Relay).await;
    let error = result.err().expect("no listener").to_string();
    assert!(error.contains(&address.to_string()), "{error}");
}

/// What `accept` says to a peer that sends `bytes` and closes.
async fn accept_raw(bytes: &[u8]) -> WireError {
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
async fn an_oversized_first_frame_is_refused_before_it_is_read() {
    let length = (MAXIMUM_FRAME_BYTES as u32) - 1;
    let error = accept_raw(&length.to_be_bytes()).await;
    assert!(error.to_string().contains("frame size too big"), "{error}");
}

#[tokio::test]
async fn a_truncated_frame_is_an_error() {
    let error = accept_raw(&[0, 0, 0, 20, 1, 2, 3]).await;
    assert!(matches!(error, WireError::Receive { .. }), "{error}");
}

#[tokio::test]
async fn a_frame_that_is_no_hello_is_an_error() {
    let error = accept_raw(&[0, 0, 0, 2, 0x92, 0x01]).await;
    assert!(matches!(error, WireError::Decode { .. }), "{error}");
}

#[tokio::test]
async fn a_peer_that_closes_at_once_is_an_error() {
    let error = accept_raw(&[]).await;
    assert!(matches!(error, WireError::Closed { .. }), "{error}");
}

#[tokio::test]
async fn a_connection_comes_from_the_source_that_was_asked_for() {
    let (listener, address) = listener().await;
    let source: std::net::IpAddr = "127.0.0.9".parse().expect("an IP number");
    let theirs = hello(Role::Relay);
    let server = async {
        let (stream, peer) = listener.accept().await.expect("accept");
        accept(stream, peer, &theirs).await.expect("shake hands");
        peer
    };
    let ours = hello(Role::Agent);
    let client =
        connect_from::<RelayToAgent, AgentToRelay>(Some(source), address, &ours, Role::Relay);
    let (seen_from, connected) = tokio::join!(server, client);
    connected.expect("connect");
    assert_eq!(seen_from.ip(), source);
}
