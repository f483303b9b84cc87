//! Accepts internal connections from control replicas, relays and gateways.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_http::{ConnectionSlot, ListenerShare};
use sablehaven_wire::{Role, accept};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{context::Context, tasks::TaskGroup};
use crate::{gateways::serve_gateway, peers::receive_from_peer, relays::serve_relay};

/// The delay after a failed accept, such as for lack of file descriptors, so that the loop does not use all CPU time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until its task is cancelled, as many as `share` allows. Beyond that, those that have not completed
/// the handshake make room for new ones. Once the replica is stopping, relays are refused. Other replicas
/// and gateways are served until the end, since replication continues without relays.
pub(super) async fn accept_connections(
    context: Arc<Context>,
    listener: TcpListener,
    share: ListenerShare,
    background: TaskGroup,
    relays: TaskGroup,
) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some(slot) = share.open_up_to(usize::MAX).await else {
                    continue;
                };
                let serving = serve(
                    Arc::clone(&context),
                    stream,
                    address,
                    slot,
                    background.clone(),
                    relays.clone(),
                );
                background.spawn(serving);
            }
            Err(error) => {
                log::warn!("accept internal connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Completes the handshake of a connection and serves it according to the peer's role.
async fn serve(
    context: Arc<Context>,
    stream: TcpStream,
    address: SocketAddr,
    slot: ConnectionSlot,
    background: TaskGroup,
    relays: TaskGroup,
) {
    let hello = context.peers.hello();
    let accepted = tokio::select! {
        accepted = accept(stream, address, &hello) => accepted,
        () = slot.evicted() => return,
    };
    let connection = match accepted {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("{error}");
            return;
        }
    };
    // From now on the connection is not closed to make room for others.
    slot.client().request_started();
    match connection.hello.role {
        Role::Control => background.spawn(async move {
            // The end of a connection needs no report: the other replica connects again.
            let _ = receive_from_peer(&context, connection.retype()).await;
            drop(slot);
        }),
        Role::Relay if context.stopping.is_cancelled() => {}
        Role::Relay => relays.spawn(async move {
            serve_relay(context, connection.retype()).await;
            drop(slot);
        }),
        Role::Gateway => background.spawn(async move {
            serve_gateway(context, connection.retype()).await;
            drop(slot);
        }),
        Role::Agent => log::warn!("refuse connection of {address}: agents connect to relays"),
    }
}
