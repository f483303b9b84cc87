//! Tests of frames after the handshake: order, shared encoding, size limits and cancellation.

use sablehaven_types::{AgentId, Placement};
use sablehaven_wire::{
    AgentToRelay, Connection, EncodedMessage, Hello, PROTOCOL_VERSION, RelayToAgent, Role,
    StateUpdate, WireError, accept, connect,
};
use tokio::net::TcpListener;

type AgentSide = Connection<RelayToAgent, AgentToRelay>;
type RelaySide = Connection<AgentToRelay, RelayToAgent>;

fn hello(role: Role) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        deployment: "trinacria".to_owned(),
        role,
        sender: "someone".to_owned(),
    }
}

async fn connected_pair() -> (AgentSide, RelaySide) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let server = async {
        let (stream, peer) = listener.accept().await.expect("accept");
        accept(stream, peer, &hello(Role::Relay))
            .await
            .expect("handshake")
    };
    let agent_hello = hello(Role::Agent);
    let client = connect(address, &agent_hello, Role::Relay);
    let (server, client) = tokio::join!(server, client);
    (client.expect("connect"), server.retype())
}

fn watch() -> AgentToRelay {
    AgentToRelay::Watch {
        agent: AgentId::from("agent-1"),
        placement: Placement {
            region: "west".into(),
            zone: "west-1".into(),
        },
        interest: ["stock.Search".into()].into(),
        revision: 9,
    }
}

#[tokio::test]
async fn messages_arrive_complete_and_in_order() {
    let (mut agent, mut relay) = connected_pair().await;
    agent.writer.feed(&watch()).await.expect("feed");
    for nonce in 1..=100 {
        let request = AgentToRelay::RequestLease { nonce };
        agent.writer.feed(&request).await.expect("feed");
    }
    agent.writer.flush().await.expect("flush");
    assert_eq!(relay.reader.receive().await.expect("receive"), watch());
    for nonce in 1..=100 {
        let expected = AgentToRelay::RequestLease { nonce };
        assert_eq!(relay.reader.receive().await.expect("receive"), expected);
    }
    assert_eq!(agent.writer.sent_bytes(), relay.reader.received_bytes());
}

#[tokio::test]
async fn a_message_encoded_once_can_be_sent_repeatedly() {
    let (mut agent, mut relay) = connected_pair().await;
    let update = RelayToAgent::Update(StateUpdate {
        full: true,
        revision: 5,
        ..StateUpdate::default()
    });
    let encoded = EncodedMessage::new(&update).expect("encode");
    relay.writer.feed_encoded(&encoded).await.expect("feed");
    relay.writer.feed_encoded(&encoded).await.expect("feed");
    relay.writer.flush().await.expect("flush");
    assert_eq!(agent.reader.receive().await.expect("receive"), update);
    assert_eq!(agent.reader.receive().await.expect("receive"), update);
}

#[tokio::test]
async fn a_connection_closed_by_the_peer_is_an_error() {
    let (mut agent, relay) = connected_pair().await;
    drop(relay);
    let error = agent.reader.receive().await.expect_err("closed");
    assert!(matches!(error, WireError::Closed { .. }), "{error}");
}

#[tokio::test]
async fn a_message_larger_than_the_maximum_frame_is_not_sent() {
    let (mut agent, _relay) = connected_pair().await;
    let oversized = AgentToRelay::Watch {
        agent: AgentId::from("a".repeat(sablehaven_wire::MAXIMUM_FRAME_BYTES)),
        placement: Placement {
            region: "west".into(),
            zone: "west-1".into(),
        },
        interest: Default::default(),
        revision: 0,
    };
    let error = agent.writer.send(&oversized).await.expect_err("too large");
    assert!(matches!(error, WireError::Send { .. }), "{error}");
}

/// Sends large frames faster than the receiver reads them, so that writes have to wait and are
/// cancelled. A cancelled write must neither lose nor repeat a frame.
#[tokio::test]
async fn cancelled_writes_neither_lose_nor_repeat_frames() {
    let (mut agent, mut relay) = connected_pair().await;
    let update = |revision| {
        RelayToAgent::Update(StateUpdate {
            full: true,
            revision,
            agents_per_service: (0..5_000)
                .map(|number| (format!("service-{number}").into(), number))
                .collect(),
            ..StateUpdate::default()
        })
    };
    let writer = async {
        for revision in 1..=100 {
            let message = update(revision);
            let encoded = EncodedMessage::new(&message).expect("encode");
            loop {
                // Cancels the write whenever the socket is not ready to accept more bytes.
                let queued = tokio::select! {
                    biased;
                    queued = relay.writer.feed_encoded(&encoded) => Some(queued),
                    () = tokio::task::yield_now() => None,
                };
                if let Some(queued) = queued {
                    queued.expect("feed");
                    break;
                }
            }
        }
        relay.writer.flush().await.expect("flush");
    };
    let reader = async {
        for revision in 1..=100 {
            let received = agent.reader.receive().await.expect("receive");
            assert_eq!(received, update(revision));
        }
    };
    tokio::join!(writer, reader);
}
