//! The open connections to control replicas, over which the gateway fetches the routes and the list of servers.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use sablehaven_types::{Distance, TokenRequest};
use sablehaven_wire::{GatewayToControl, StateVersions};
use tokio::{
    sync::{Notify, mpsc},
    time::sleep_until,
};

use crate::{gateway::Gateway, sources::StateSources};

/// Messages that are queued for the connection to one replica.
pub(crate) struct LinkQueue {
    messages: mpsc::UnboundedReceiver<GatewayToControl>,
    /// A message that was received while token requests were being combined, and is still to be sent.
    pending: Option<GatewayToControl>,
}

impl LinkQueue {
    /// Returns the next message, with all consecutive token requests combined into one. Returns `None` when
    /// there will be no more messages. Cancel safe: no message is lost if the future is dropped.
    pub(crate) async fn recv(&mut self) -> Option<GatewayToControl> {
        let first = match self.pending.take() {
            Some(first) => first,
            None => self.messages.recv().await?,
        };
        let GatewayToControl::TakeTokens(mut requests) = first else {
            return Some(first);
        };
        while let Ok(message) = self.messages.try_recv() {
            match message {
                GatewayToControl::TakeTokens(more_requests) => requests.extend(more_requests),
                other => {
                    self.pending = Some(other);
                    break;
                }
            }
        }
        Some(GatewayToControl::TakeTokens(requests))
    }
}

/// The open connections.
#[derive(Default)]
pub(crate) struct ControlLinks {
    sources: RefCell<StateSources>,
    queues: RefCell<BTreeMap<SocketAddr, mpsc::UnboundedSender<GatewayToControl>>>,
    woken: Notify,
}

impl ControlLinks {
    /// Registers an open connection, and returns the queue of the messages to send on it. The queue holds at
    /// most a few messages and one token request for each open request, since nothing is fetched twice within
    /// half a second.
    pub(crate) fn open(&self, replica: SocketAddr) -> LinkQueue {
        let (sender, queue) = mpsc::unbounded_channel();
        self.queues.borrow_mut().insert(replica, sender);
        LinkQueue {
            messages: queue,
            pending: None,
        }
    }

    /// Removes a connection that has ended.
    pub(crate) fn close(&self, replica: SocketAddr) {
        self.queues.borrow_mut().remove(&replica);
        self.sources.borrow_mut().remove(replica);
        self.wake();
    }

    /// Sets the distance of a replica that has announced its region and zone.
    pub(crate) fn set_distance(&self, replica: SocketAddr, distance: Distance) {
        self.sources.borrow_mut().add(replica, distance);
        self.wake();
    }

    /// Sets the versions that a replica has announced.
    pub(crate) fn set_versions(&self, replica: SocketAddr, versions: StateVersions) {
        self.sources.borrow_mut().set_versions(replica, versions);
        self.wake();
    }

    /// Whether the replica is the one that sends this gateway the members of the deployment.
    pub(crate) fn is_preferred(&self, replica: SocketAddr) -> bool {
        self.sources.borrow().preferred() == Some(replica)
    }

    /// The connected replicas: the preferred one first, the others by distance.
    pub(crate) fn by_distance(&self) -> Vec<(SocketAddr, Distance)> {
        self.sources.borrow().by_distance()
    }

    /// Queues a token request for a replica. Returns whether there is a connection to it.
    pub(crate) fn send_token_request(&self, replica: SocketAddr, request: TokenRequest) -> bool {
        let queues = self.queues.borrow();
        let queue = queues.get(&replica);
        queue.is_some_and(|queue| {
            let message = GatewayToControl::TakeTokens(vec![request]);
            queue.send(message).is_ok()
        })
    }

    /// Wakes [`fetch_state`], since a version has changed or a replica has connected or disconnected.
    pub(crate) fn wake(&self) {
        self.woken.notify_one();
    }

    /// Sends the messages that are due. Returns when to call this again.
    fn send_due(&self, now: Duration, held: StateVersions) -> Option<Duration> {
        let plan = self.sources.borrow_mut().plan(now, held, rand::random());
        let queues = self.queues.borrow();
        for (replica, message) in plan.messages {
            if let Some(queue) = queues.get(&replica) {
                // The receiver may just have been dropped. The replica is then removed from the sources.
                let _ = queue.send(message);
            }
        }
        plan.wake_at
    }
}

/// Fetches newer versions from the replicas until the future is dropped.
pub(crate) async fn fetch_state(gateway: Rc<Gateway>) {
    let links = &gateway.control_links;
    loop {
        let now = gateway.clock.now();
        let wake_at = links.send_due(now, gateway.versions());
        let wake_instant = wake_at.map(|at| Instant::now() + at.saturating_sub(now));
        tokio::select! {
            () = links.woken.notified() => {}
            () = sleep_until(wake_instant.unwrap_or_else(Instant::now).into()), if wake_instant.is_some() => {}
        }
    }
}
