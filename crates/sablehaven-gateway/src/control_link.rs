//! Maintains a connection to each known control replica.
//!
//! Routes are valid as soon as any replica has applied them. The gateway learns from every replica which
//! versions it has, so it gets new routes as long as it reaches any replica that has them. A message from a
//! former leader can only be out of date, and is ignored.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use sablehaven_types::Distance;
use sablehaven_wire::{
    ConnectTimeout, Connection, ControlToGateway, GatewayStatus, GatewayToControl, Hello,
    PROTOCOL_VERSION, Role, WireError, connect_from,
};
use tokio::{
    sync::broadcast::error::RecvError,
    task::{AbortHandle, spawn_local},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use crate::{control_links::LinkQueue, gateway::Gateway};

/// Delay before a reconnection.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Interval at which keepalive messages are sent to a replica.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any received bytes after which a connection is closed and opened again.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum duration of one write.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Errors of a connection to a control replica.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum LinkError {
    /// {0}
    Wire(#[from] WireError),
    /// connection to control replica {peer} timed out
    Timeout {
        /// The replica.
        peer: SocketAddr,
    },
}

/// Maintains a connection to every known replica.
pub(crate) async fn maintain_links(gateway: Rc<Gateway>) {
    let mut controls = gateway.controls();
    let mut link_tasks: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
    loop {
        let known_addresses = controls.borrow_and_update().clone();
        for address in known_addresses {
            link_tasks.entry(address).or_insert_with(|| {
                let link = maintain_link(Rc::clone(&gateway), address);
                spawn_local(link).abort_handle()
            });
        }
        if controls.changed().await.is_err() {
            return;
        }
    }
}

async fn maintain_link(gateway: Rc<Gateway>, address: SocketAddr) {
    let mut was_connected = false;
    let mut backoff = ConnectTimeout::default();
    loop {
        let Some(dial_result) = backoff.attempt(dial(&gateway, address)).await else {
            continue;
        };
        match dial_result {
            Ok(connection) => {
                log::info!(event = "control_connected", peer:% = address; "connected to a control replica");
                gateway.metrics.control_connections.inc();
                let queue = gateway.control_links.open(address);
                let result = run_connection(&gateway, address, connection, queue).await;
                gateway.control_links.close(address);
                gateway.tokens.remove_replica(address);
                gateway.metrics.control_connections.dec();
                was_connected = true;
                if let Err(error) = result {
                    log::warn!(event = "control_lost", peer:% = address,
                        reason:% = error; "lost the connection to a control replica");
                }
            }
            Err(error) if was_connected => {
                was_connected = false;
                log::warn!(event = "control_unreachable", peer:% = address,
                    reason:% = error; "cannot reconnect to a control replica");
            }
            // The replica has not been reachable yet, or its loss has already been logged.
            Err(_) => {}
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn dial(
    gateway: &Gateway,
    address: SocketAddr,
) -> Result<Connection<ControlToGateway, GatewayToControl>, WireError> {
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        deployment: gateway.config.deployment.clone(),
        role: Role::Gateway,
        sender: gateway.status().borrow().address.to_string(),
    };
    connect_from(gateway.config.connect_from, address, &hello, Role::Control).await
}

async fn run_connection(
    gateway: &Gateway,
    peer: SocketAddr,
    connection: Connection<ControlToGateway, GatewayToControl>,
    mut queue: LinkQueue,
) -> Result<(), LinkError> {
    let Connection {
        mut reader,
        mut writer,
        ..
    } = connection;
    let mut status = gateway.status();
    status.mark_changed();
    let mut reports = gateway.subscribe_crash_reports();
    // The replica may have restarted since the last connection, so all known reports are sent again.
    let mut unsent_reports = Some(gateway.crashes.borrow().reports(gateway.clock.now()));
    let mut keepalive = interval(KEEPALIVE_INTERVAL);
    keepalive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received_at = Instant::now();
    let mut arrived_bytes = 0;
    let mut last_sent: Option<GatewayStatus> = None;
    loop {
        // `biased`, so that the first status is sent before any keepalive message.
        let message = tokio::select! {
            biased;
            Ok(()) = status.changed() => {
                let status = status.borrow_and_update().clone();
                let must_send = must_send(gateway, peer, last_sent.as_ref(), &status);
                must_send.then(|| GatewayToControl::Status(last_sent.insert(status).clone()))
            }
            received = reader.receive() => {
                handle_message(gateway, peer, received?);
                None
            }
            Some(message) = queue.recv() => Some(message),
            () = std::future::ready(()), if unsent_reports.is_some() => {
                let reports = unsent_reports.take().filter(|reports| !reports.is_empty());
                reports.map(GatewayToControl::Crashes)
            }
            report = reports.recv() => match report {
                Ok(report) => Some(GatewayToControl::Crashes(vec![report])),
                Err(RecvError::Lagged(_) | RecvError::Closed) => {
                    unsent_reports = Some(gateway.crashes.borrow().reports(gateway.clock.now()));
                    None
                }
            },
            _ = keepalive.tick() => Some(GatewayToControl::Alive(gateway.load.load())),
        };
        if reader.arrived_bytes() != arrived_bytes {
            arrived_bytes = reader.arrived_bytes();
            last_received_at = Instant::now();
        }
        if last_received_at.elapsed() > SILENCE_TIMEOUT {
            return Err(LinkError::Timeout { peer });
        }
        if let Some(message) = message {
            match timeout(SEND_TIMEOUT, writer.send(&message)).await {
                Ok(sent) => sent?,
                Err(_) => return Err(LinkError::Timeout { peer }),
            }
        }
    }
}

/// Whether a status must be sent to a replica. Every replica needs the address and readiness of the gateway,
/// which callers are told. Only the preferred replica gets each change of the versions in force; otherwise each
/// change would cause a message from every gateway to every replica.
fn must_send(
    gateway: &Gateway,
    peer: SocketAddr,
    last_sent: Option<&GatewayStatus>,
    status: &GatewayStatus,
) -> bool {
    gateway.control_links.is_preferred(peer)
        || last_sent.is_none_or(|last_sent| last_sent.is_ready != status.is_ready)
}

fn handle_message(gateway: &Gateway, peer: SocketAddr, message: ControlToGateway) {
    match message {
        ControlToGateway::Placement(placement) => {
            let distance = Distance::between(&gateway.config.placement, &placement);
            gateway.control_links.set_distance(peer, distance);
        }
        ControlToGateway::Versions(versions) => gateway.control_links.set_versions(peer, versions),
        ControlToGateway::Routes(document) => gateway.apply_routes(document),
        ControlToGateway::RoutesChange(change) => gateway.apply_routes_change(&change),
        ControlToGateway::Listing(listing) => gateway.apply_listing(&listing),
        ControlToGateway::ListingChange(change) => gateway.apply_listing_change(&change),
        ControlToGateway::Members(members) => gateway.apply_members(members),
        ControlToGateway::Evacuation(zones) => gateway.apply_evacuation(zones),
        ControlToGateway::Crashes(reports) => gateway.apply_crash_reports(&reports),
        ControlToGateway::Tokens(replies) => gateway.tokens.handle_replies(peer, &replies),
        ControlToGateway::Alive => {}
    }
}
