//! A test client that speaks to a control replica as a gateway.

use std::net::SocketAddr;

use sablehaven_types::{ListingNumber, ListingUpdate, Placement, TokenRequest, TokenVerdict};
use sablehaven_wire::{
    Connection, ControlToGateway, GatewayStatus, GatewayToControl, Hello, PROTOCOL_VERSION, Role,
    StateVersions, connect,
};
use tokio::time::timeout;

use super::WAIT_TIMEOUT;

pub struct Gateway {
    connection: Connection<ControlToGateway, GatewayToControl>,
    last_request_number: u64,
}

impl Gateway {
    /// Connects and sends the status that a gateway sends first.
    pub async fn connect(address: SocketAddr) -> Self {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: "test".to_owned(),
            role: Role::Gateway,
            sender: "gateway-1".to_owned(),
        };
        let connection = connect(address, &hello, Role::Control).await;
        let mut gateway = Self {
            connection: connection.expect("connect to control"),
            last_request_number: 0,
        };
        let status = GatewayStatus {
            address: ([127, 0, 0, 1], 1).into(),
            placement: Placement {
                region: "north".into(),
                zone: "a".into(),
            },
            is_ready: false,
            routes_version: 0,
            listing: ListingNumber::default(),
            evacuation_revision: 0,
        };
        gateway.send(GatewayToControl::Status(status)).await;
        gateway
    }

    pub async fn send(&mut self, message: GatewayToControl) {
        self.connection.writer.send(&message).await.expect("send");
    }

    /// Receives messages until `select` accepts one; skips the others.
    async fn receive_matching<Selected>(
        &mut self,
        select: impl Fn(ControlToGateway) -> Option<Selected>,
    ) -> Selected {
        loop {
            let received = timeout(WAIT_TIMEOUT, self.connection.reader.receive()).await;
            let message = received.expect("a message in time");
            if let Some(selected) = select(message.expect("an open connection")) {
                return selected;
            }
        }
    }

    /// Waits until the replica announces a version of the server list newer than `held`, and returns all
    /// the versions that it announced.
    pub async fn wait_for_listing(&mut self, held: ListingNumber) -> StateVersions {
        self.receive_matching(|message| match message {
            ControlToGateway::Versions(versions) if versions.listing > held => Some(versions),
            _ => None,
        })
        .await
    }

    /// Fetches the update from the version `held` of the server list to the replica's.
    pub async fn fetch_listing(&mut self, held: ListingNumber) -> ListingUpdate {
        self.send(GatewayToControl::FetchListing(held)).await;
        self.receive_matching(|message| match message {
            ControlToGateway::Listing(listing) => Some(ListingUpdate::Whole(listing)),
            ControlToGateway::ListingChange(change) => Some(ListingUpdate::Change(change)),
            _ => None,
        })
        .await
    }

    /// Requests one token and returns the replica's verdict.
    pub async fn take_token(&mut self, tenant: &str) -> TokenVerdict {
        self.last_request_number += 1;
        let number = self.last_request_number;
        let request = TokenRequest {
            number,
            tenant: tenant.into(),
            wanted: 1,
            shed_permille: 0,
            patience_ms: 0,
            is_resend: false,
        };
        self.send(GatewayToControl::TakeTokens(vec![request])).await;
        self.receive_matching(|message| match message {
            ControlToGateway::Tokens(replies) => {
                let own = replies.iter().find(|reply| reply.number == number);
                own.map(|reply| reply.verdict)
            }
            _ => None,
        })
        .await
    }
}
