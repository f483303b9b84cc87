//! A gateway's end of a connection to a control replica.

use std::net::SocketAddr;

use sablehaven_types::{ListingNumber, ListingUpdate, Placement, TokenRequest, TokenVerdict};
use sablehaven_wire::{
    Connection, ControlToGateway, GatewayStatus, GatewayToControl, Hello, PROTOCOL_VERSION, Role,
    StateVersions, connect,
};
use tokio::time::timeout;

use super::LIMIT;

pub struct Gateway {
    connection: Connection<ControlToGateway, GatewayToControl>,
    last_number: u64,
}

impl Gateway {
    /// Connects and says where it stands, as its first message.
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
            last_number: 0,
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

    /// The next message that `pick` wants; others are passed over.
    async fn receive_some<Wanted>(
        &mut self,
        pick: impl Fn(ControlToGateway) -> Option<Wanted>,
    ) -> Wanted {
        loop {
            let received = timeout(LIMIT, self.connection.reader.receive()).await;
            let message = received.expect("a message in time");
            if let Some(wanted) = pick(message.expect("an open connection")) {
                return wanted;
            }
        }
    }

    /// What the replica has, once it has a reading of the list that is newer than `held`.
    pub async fn offered_listing(&mut self, held: ListingNumber) -> StateVersions {
        self.receive_some(|message| match message {
            ControlToGateway::Versions(versions) if versions.listing > held => Some(versions),
            _ => None,
        })
        .await
    }

    /// Fetches what leads from the reading `held` to the replica's.
    pub async fn fetch_listing(&mut self, held: ListingNumber) -> ListingUpdate {
        self.send(GatewayToControl::FetchListing(held)).await;
        self.receive_some(|message| match message {
            ControlToGateway::Listing(listing) => Some(ListingUpdate::Whole(listing)),
            ControlToGateway::ListingChange(change) => Some(ListingUpdate::Change(change)),
            _ => None,
        })
        .await
    }

    /// The replica's verdict on one request for a token.
    pub async fn take_token(&mut self, tenant: &str) -> TokenVerdict {
        self.last_number += 1;
        let number = self.last_number;
        let request = TokenRequest {
            number,
            tenant: tenant.into(),
            wanted: 1,
            shed_permille: 0,
            patience_ms: 0,
            is_resend: false,
        };
        self.send(GatewayToControl::TakeTokens(vec![request])).await;
        self.receive_some(|message| match message {
            ControlToGateway::Tokens(replies) => {
                let own = replies.iter().find(|reply| reply.number == number);
                own.map(|reply| reply.verdict)
            }
            _ => None,
        })
        .await
    }
}
