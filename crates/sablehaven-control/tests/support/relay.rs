//! A relay's end of a connection to a control replica.

use std::{net::SocketAddr, time::Duration};

use sablehaven_types::{LedgerReply, LedgerRequest, RelayId};
use sablehaven_wire::{
    Connection, ControlToRelay, Hello, LeaseGrant, PROTOCOL_VERSION, RelayToControl, Role, connect,
};
use tokio::time::timeout;

use super::LIMIT;

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

    /// The next message, or `None` when the connection has ended.
    pub async fn receive(&mut self) -> Option<ControlToRelay> {
        let received = timeout(LIMIT, self.connection.reader.receive()).await;
        received.expect("a message in time").ok()
    }

    /// Whether nothing comes for a while.
    pub async fn is_silent_for(&mut self, duration: Duration) -> bool {
        timeout(duration, self.connection.reader.receive())
            .await
            .is_err()
    }

    /// The next message that `pick` wants; others are passed over.
    pub async fn receive_some<Wanted>(
        &mut self,
        pick: impl Fn(ControlToRelay) -> Option<Wanted>,
    ) -> Wanted {
        loop {
            let message = self.receive().await.expect("an open connection");
            if let Some(wanted) = pick(message) {
                return wanted;
            }
        }
    }

    /// Asks for a lease once; `None` when the replica does not lead.
    pub async fn lease(&mut self, nonce: u64) -> Option<LeaseGrant> {
        self.send(RelayToControl::RequestLease { nonce }).await;
        self.receive_some(|message| match message {
            ControlToRelay::Lease(grant) => Some(Some(grant)),
            ControlToRelay::NotLeader { .. } => Some(None),
            _ => None,
        })
        .await
    }

    /// One ledger call.
    pub async fn ledger(&mut self, request: LedgerRequest) -> LedgerReply {
        self.send(RelayToControl::Ledger(vec![(7, request)])).await;
        self.receive_some(|message| match message {
            ControlToRelay::Ledger(mut replies) => replies.pop().map(|(_, reply)| reply),
            _ => None,
        })
        .await
    }
}
