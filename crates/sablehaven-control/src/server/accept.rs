//! Accepts internal connections from control replicas, relays and gateways.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_wire::{Role, accept};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{context::Context, tasks::TaskGroup};
use crate::{gateways::serve_gateway, peers::receive_from_peer, relays::serve_relay};

/// The delay after a failed accept, such as for lack of file descriptors, so that the loop does not use all CPU time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until its task is cancelled. Once the replica is stopping, relays are refused. Other replicas
/// and gateways are served until the end, since replication continues without relays.
pub(super) async fn accept_connections(
    context: Arc<Context>,
    listener: TcpListener,
    background: TaskGroup,
    relays: TaskGroup,
) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let serving = serve(
                    Arc::clone(&context),
                    stream,
                    address,
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
    background: TaskGroup,
    relays: TaskGroup,
) {
    let connection = match accept(stream, address, &context.peers.hello()).await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("{error}");
            return;
        }
    };
    match connection.hello.role {
        Role::Control => background.spawn(async move {
            // The end of a connection needs no report: the other replica connects again.
            let _ = receive_from_peer(&context, connection.retype()).await;
        }),
        Role::Relay if context.stopping.is_cancelled() => {}
        Role::Relay => relays.spawn(serve_relay(context, connection.retype())),
        Role::Gateway => background.spawn(serve_gateway(context, connection.retype())),
        Role::Agent => log::warn!("refuse connection of {address}: agents connect to relays"),
    }
}
