//! A test double of a control replica. It sends gateways the state that the test sets.

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

/// The state that the control replica sends to gateways.
#[derive(Clone, Default)]
pub(super) struct ControlState {
    /// Number of gateways in zone `a`; 1 if absent.
    pub(super) gateway_count: Option<u32>,
    pub(super) routes: Option<Arc<RouteDocument>>,
    /// A change of the routes; sent after them.
    pub(super) routes_change: Option<RoutesChange>,
    pub(super) listing: Option<Arc<ServerListing>>,
    pub(super) evacuated: EvacuatedZones,
    /// Whether callers are not told of this gateway, so that it has no share of the limits that all gateways
    /// have together.
    pub(super) is_unadvertised: bool,
}

/// The kinds of messages that gateways have sent.
pub(super) type ReceivedKinds = Rc<RefCell<BTreeSet<&'static str>>>;

/// Accepts connections of gateways until the test ends. Sends them the state whenever it changes, and records their
/// latest status and the kinds of their messages.
pub(super) async fn run_control_double(
    listener: TcpListener,
    state_receiver: watch::Receiver<ControlState>,
    status_sender: watch::Sender<Option<GatewayStatus>>,
    received_kinds: ReceivedKinds,
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
        let mut state_receiver = state_receiver.clone();
        state_receiver.mark_changed();
        let status_sender = status_sender.clone();
        let received_kinds = Rc::clone(&received_kinds);
        tokio::task::spawn_local(async move {
            let members = |state: &ControlState| {
                ControlToGateway::Members(DeploymentMembers {
                    gateways: BTreeMap::from([("a".into(), state.gateway_count.unwrap_or(1))]),
                    is_sharer: !state.is_unadvertised,
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
                    Ok(()) = state_receiver.changed() => {
                        let state = state_receiver.borrow_and_update().clone();
                        let message = members(&state);
                        connection.writer.send(&message).await.expect("send");
                        let message = ControlToGateway::Evacuation(state.evacuated);
                        connection.writer.send(&message).await.expect("send");
                        if let Some(listing) = state.listing {
                            let message = ControlToGateway::Listing(listing);
                            connection.writer.send(&message).await.expect("send");
                        }
                        if let Some(routes) = state.routes {
                            let message = ControlToGateway::Routes(routes);
                            connection.writer.send(&message).await.expect("send");
                        }
                        if let Some(change) = state.routes_change {
                            let message = ControlToGateway::RoutesChange(change);
                            connection.writer.send(&message).await.expect("send");
                        }
                    }
                    received = connection.reader.receive() => match received {
                        Ok(message) => {
                            received_kinds.borrow_mut().insert(message_kind(&message));
                            if let GatewayToControl::Status(status) = message {
                                status_sender.send_replace(Some(status));
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

fn message_kind(message: &GatewayToControl) -> &'static str {
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
