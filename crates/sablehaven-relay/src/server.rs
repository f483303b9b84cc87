//! Accepts agents' connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_wire::{Role, accept};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{agent::session, hub::Hub};

/// Wait after a failed accept, such as when the process has no file descriptor left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Accepts agents until `stop_accepting`; their connections go on until `end`.
pub(crate) async fn run(
    hub: Arc<Hub>,
    listener: TcpListener,
    stop_accepting: CancellationToken,
    end: CancellationToken,
    sessions: TaskTracker,
) {
    let handshakes = Arc::new(Semaphore::new(hub.config.concurrent_handshakes as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_accepting.cancelled() => return,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept an agent: {error}");
                sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        if hub.open_sessions() >= hub.config.maximum_agents as usize {
            // Closed at once: the agent tries another relay.
            hub.metrics.agents_refused.inc();
            continue;
        }
        let serve = handshake_and_serve(hub.clone(), stream, peer, handshakes.clone());
        let end = end.clone();
        sessions.spawn(async move {
            tokio::select! {
                () = serve => {}
                () = end.cancelled() => {}
            }
        });
    }
}

async fn handshake_and_serve(
    hub: Arc<Hub>,
    stream: TcpStream,
    peer: SocketAddr,
    handshakes: Arc<Semaphore>,
) {
    let Ok(permit) = handshakes.acquire().await else {
        return;
    };
    let connection = match accept(stream, peer, &hub.hello()).await {
        Ok(connection) => connection,
        Err(error) => {
            hub.metrics.agent_errors.inc();
            log::warn!("{error}");
            return;
        }
    };
    drop(permit);
    if connection.hello.role != Role::Agent {
        log::warn!(
            "handshake with {peer}: its role is {:?}, not Agent",
            connection.hello.role
        );
        return;
    }
    session::serve(hub, connection.retype()).await;
}
