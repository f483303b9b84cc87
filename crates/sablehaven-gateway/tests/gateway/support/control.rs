//! A stand-in control replica that says what the test says.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use sablehaven_types::{EvacuatedZones, Placement, RouteDocument, RoutesChange, ServerListing};
use sablehaven_wire::{
    ControlToGateway, DeploymentMembers, GatewayStatus, GatewayToControl, Hello, PROTOCOL_VERSION,
    Role, accept,
};
use tokio::{net::TcpListener, sync::watch};

/// What the stand-in control replica says.
#[derive(Clone, Default)]
pub(super) struct Said {
    /// Gateways of zone `a`; one where it is not said.
    pub(super) gateways: Option<u32>,
    pub(super) routes: Option<Arc<RouteDocument>>,
    /// Said after the routes.
    pub(super) routes_change: Option<RoutesChange>,
    pub(super) listing: Option<Arc<ServerListing>>,
    pub(super) evacuated: EvacuatedZones,
    pub(super) has_no_part: bool,
}

/// The names of the messages that gateways have sent.
pub(super) type HeardNames = Rc<RefCell<BTreeSet<&'static str>>>;

/// Serves gateways until the test ends.
pub(super) async fn stand_in_control(
    listener: TcpListener,
    saying: watch::Receiver<Said>,
    hearing: watch::Sender<Option<GatewayStatus>>,
    names: HeardNames,
) {
    loop {
        let (stream, address) = listener.accept().await.expect("accept");
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: "test".to_owned(),
            role: Role::Control,
            sender: "control".to_owned(),
        };
        let Ok(connection) = accept(stream, address, &hello).await else {
            continue;
        };
        let mut connection = connection.retype::<GatewayToControl, ControlToGateway>();
        let mut saying = saying.clone();
        saying.mark_changed();
        let hearing = hearing.clone();
        let names = Rc::clone(&names);
        tokio::task::spawn_local(async move {
            let members = |said: &Said| {
                ControlToGateway::Members(DeploymentMembers {
                    gateways: BTreeMap::from([("a".into(), said.gateways.unwrap_or(1))]),
                    is_sharer: !said.has_no_part,
                    ..DeploymentMembers::default()
                })
            };
            let placement = Placement {
                region: "north".into(),
                zone: "a".into(),
            };
            let message = ControlToGateway::Placement(placement);
            connection.writer.send(&message).await.expect("send");
            loop {
                tokio::select! {
                    Ok(()) = saying.changed() => {
                        let said = saying.borrow_and_update().clone();
                        let message = members(&said);
                        connection.writer.send(&message).await.expect("send");
                        let message = ControlToGateway::Evacuation(said.evacuated);
                        connection.writer.send(&message).await.expect("send");
                        if let Some(listing) = said.listing {
                            let message = ControlToGateway::Listing(listing);
                            connection.writer.send(&message).await.expect("send");
                        }
                        if let Some(routes) = said.routes {
                            let message = ControlToGateway::Routes(routes);
                            connection.writer.send(&message).await.expect("send");
                        }
                        if let Some(change) = said.routes_change {
                            let message = ControlToGateway::RoutesChange(change);
                            connection.writer.send(&message).await.expect("send");
                        }
                    }
                    received = connection.reader.receive() => match received {
                        Ok(message) => {
                            names.borrow_mut().insert(name(&message));
                            if let GatewayToControl::Status(status) = message {
                                hearing.send_replace(Some(status));
                            }
                            if connection.writer.send(&ControlToGateway::Alive).await.is_err() {
                                return;
                            }
                        }
                        Err(_) => return,
                    },
                }
            }
        });
    }
}

fn name(message: &GatewayToControl) -> &'static str {
    match message {
        GatewayToControl::Status(_) => "status",
        GatewayToControl::Alive(_) => "alive",
        GatewayToControl::FetchRoutes(_) => "fetch routes",
        GatewayToControl::FetchListing(_) => "fetch listing",
        GatewayToControl::Prefer(_) => "prefer",
        GatewayToControl::Crashes(_) => "crashes",
        GatewayToControl::TakeTokens(_) => "take tokens",
    }
}
