//! Accepts connections from agents.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_http::{ConnectionSlot, ListenerShare};
use sablehaven_wire::{Role, accept};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{agent::session, hub::Hub};

/// Delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts agents, as many as `share` allows. Beyond that, those that have not completed the handshake make room for new
/// ones. Runs until `stop_accepting` is cancelled. Established connections are served until
/// `shutdown` is cancelled.
pub(crate) async fn run(
    hub: Arc<Hub>,
    listener: TcpListener,
    share: ListenerShare,
    stop_accepting: CancellationToken,
    shutdown: CancellationToken,
    sessions: TaskTracker,
) {
    let handshake_permits = Arc::new(Semaphore::new(hub.config.concurrent_handshakes as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_accepting.cancelled() => return,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("failed to accept an agent connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if hub.session_count() >= hub.config.maximum_agents as usize {
            // Dropping the stream closes the connection; the agent then tries another relay.
            hub.metrics.agents_refused.inc();
            continue;
        }
        let Some(slot) = share.open_up_to(usize::MAX).await else {
            hub.metrics.agents_refused.inc();
            continue;
        };
        let serve = handshake_and_serve(hub.clone(), stream, peer, slot, handshake_permits.clone());
        let shutdown = shutdown.clone();
        sessions.spawn(async move {
            tokio::select! {
                () = serve => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}

async fn handshake_and_serve(
    hub: Arc<Hub>,
    stream: TcpStream,
    peer: SocketAddr,
    slot: ConnectionSlot,
    handshake_permits: Arc<Semaphore>,
) {
    let hello = hub.hello();
    let handshake = async {
        let permit = handshake_permits.acquire().await;
        let accepted = accept(stream, peer, &hello).await;
        drop(permit);
        accepted
    };
    let accepted = tokio::select! {
        accepted = handshake => accepted,
        () = slot.evicted() => return,
    };
    let connection = match accepted {
        Ok(connection) => connection,
        Err(error) => {
            hub.metrics.agent_errors.inc();
            log::warn!("{error}");
            return;
        }
    };
    if connection.hello.role != Role::Agent {
        log::warn!(
            "handshake with {peer}: expected role Agent, got {:?}",
            connection.hello.role
        );
        return;
    }
    // From now on the connection is not closed to make room for others.
    slot.client().request_started();
    session::serve(hub, connection.retype()).await;
    drop(slot);
}
