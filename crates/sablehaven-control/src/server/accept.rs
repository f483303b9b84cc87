//! Accepts internal connections of replicas and relays.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_wire::{Role, accept};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{context::Context, tasks::TaskGroup};
use crate::{gateways::serve_gateway, peers::receive_from_peer, relays::serve_relay};

/// Pause after a failed accept (out of file descriptors), so that the loop does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts until the replica takes no new work. Other replicas are still served until the very end:
/// the log goes on without relays.
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
            // A connection that ends is routine: the other replica dials again.
            let _ = receive_from_peer(&context, connection.retype()).await;
        }),
        Role::Relay if context.stopping.is_cancelled() => {}
        Role::Relay => relays.spawn(serve_relay(context, connection.retype())),
        Role::Gateway => background.spawn(serve_gateway(context, connection.retype())),
        Role::Agent => log::warn!("refuse connection of {address}: agents connect to relays"),
    }
}
