//! A test client that speaks to a control replica as a relay.

use std::{net::SocketAddr, time::Duration};

use sablehaven_types::{LedgerReply, LedgerRequest, RelayId};
use sablehaven_wire::{
    Connection, ControlToRelay, Hello, LeaseGrant, PROTOCOL_VERSION, RelayToControl, Role, connect,
};
use tokio::time::timeout;

use super::WAIT_TIMEOUT;

pub struct Relay {
    connection: Connection<ControlToRelay, RelayToControl>,
}

impl Relay {
    pub async fn connect(address: SocketAddr) -> Self {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: "test".to_owned(),
            role: Role::Relay,
            sender: "relay-1".to_owned(),
        };
        let connection = connect(address, &hello, Role::Control).await;
        Self {
            connection: connection.expect("connect to control"),
        }
    }

    pub async fn send(&mut self, message: RelayToControl) {
        self.connection.writer.send(&message).await.expect("send");
    }

    pub async fn watch(&mut self, revision: u64) {
        let relay = RelayId::from("relay-1");
        self.send(RelayToControl::Watch { relay, revision }).await;
    }

    /// Receives the next message, or `None` when the connection has ended.
    pub async fn receive(&mut self) -> Option<ControlToRelay> {
        let received = timeout(WAIT_TIMEOUT, self.connection.reader.receive()).await;
        received.expect("a message in time").ok()
    }

    /// Whether no message arrives within `duration`.
    pub async fn is_silent_for(&mut self, duration: Duration) -> bool {
        timeout(duration, self.connection.reader.receive())
            .await
            .is_err()
    }

    /// Receives messages until `select` accepts one; skips the others.
    pub async fn receive_matching<Selected>(
        &mut self,
        select: impl Fn(ControlToRelay) -> Option<Selected>,
    ) -> Selected {
        loop {
            let message = self.receive().await.expect("an open connection");
            if let Some(selected) = select(message) {
                return selected;
            }
        }
    }

    /// Requests a lease once; `None` when the replica is not the leader.
    pub async fn request_lease(&mut self, nonce: u64) -> Option<LeaseGrant> {
        self.send(RelayToControl::RequestLease { nonce }).await;
        self.receive_matching(|message| match message {
            ControlToRelay::Lease(grant) => Some(Some(grant)),
            ControlToRelay::NotLeader { .. } => Some(None),
            _ => None,
        })
        .await
    }

    /// Makes one ledger call and returns its reply.
    pub async fn call_ledger(&mut self, request: LedgerRequest) -> LedgerReply {
        self.send(RelayToControl::Ledger(vec![(7, request)])).await;
        self.receive_matching(|message| match message {
            ControlToRelay::Ledger(mut replies) => replies.pop().map(|(_, reply)| reply),
            _ => None,
        })
        .await
    }
}
