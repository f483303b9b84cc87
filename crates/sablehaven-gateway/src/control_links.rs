//! The connections to control replicas that stand, and the fetching of routes and list on them.

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

/// Messages for one replica that wait for its connection to take them.
pub(crate) struct LinkQueue {
    queue: mpsc::UnboundedReceiver<GatewayToControl>,
    /// Taken while requests for tokens were put together.
    pending: Option<GatewayToControl>,
}

impl LinkQueue {
    /// The next message; all requests for tokens that wait side by side are one. `None` when there will be no more.
    /// Nothing is lost where this is dropped before it ends.
    pub(crate) async fn recv(&mut self) -> Option<GatewayToControl> {
        let first = match self.pending.take() {
            Some(first) => first,
            None => self.queue.recv().await?,
        };
        let GatewayToControl::TakeTokens(mut requests) = first else {
            return Some(first);
        };
        while let Ok(message) = self.queue.try_recv() {
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

/// The connections that stand.
#[derive(Default)]
pub(crate) struct ControlLinks {
    sources: RefCell<StateSources>,
    queues: RefCell<BTreeMap<SocketAddr, mpsc::UnboundedSender<GatewayToControl>>>,
    woken: Notify,
}

impl ControlLinks {
    /// A connection to a replica stands. What is to be sent on it comes from the queue: at most a few messages,
    /// since nothing is asked for twice within half a second, and a request for a token for each open request.
    pub(crate) fn open(&self, replica: SocketAddr) -> LinkQueue {
        let (sender, queue) = mpsc::unbounded_channel();
        self.queues.borrow_mut().insert(replica, sender);
        LinkQueue {
            queue,
            pending: None,
        }
    }

    /// The connection has ended.
    pub(crate) fn close(&self, replica: SocketAddr) {
        self.queues.borrow_mut().remove(&replica);
        self.sources.borrow_mut().remove(replica);
        self.wake();
    }

    /// The replica has said where it is.
    pub(crate) fn set_distance(&self, replica: SocketAddr, distance: Distance) {
        self.sources.borrow_mut().add(replica, distance);
        self.wake();
    }

    /// The replica has said what it has.
    pub(crate) fn set_versions(&self, replica: SocketAddr, versions: StateVersions) {
        self.sources.borrow_mut().set_versions(replica, versions);
        self.wake();
    }

    /// Whether the replica is the one that tells this gateway who takes part.
    pub(crate) fn is_preferred(&self, replica: SocketAddr) -> bool {
        self.sources.borrow().preferred() == Some(replica)
    }

    /// The connected replicas, the preferred one first, of the others the nearest.
    pub(crate) fn by_distance(&self) -> Vec<(SocketAddr, Distance)> {
        self.sources.borrow().by_distance()
    }

    /// Hands a request for tokens to a replica's connection; whether there is one.
    pub(crate) fn send_token_request(&self, replica: SocketAddr, request: TokenRequest) -> bool {
        let queues = self.queues.borrow();
        let queue = queues.get(&replica);
        queue.is_some_and(|queue| {
            let message = GatewayToControl::TakeTokens(vec![request]);
            queue.send(message).is_ok()
        })
    }

    /// Something may have to be fetched from elsewhere now.
    pub(crate) fn wake(&self) {
        self.woken.notify_one();
    }

    /// Sends what is due; answers when to look again.
    fn send_due(&self, now: Duration, held: StateVersions) -> Option<Duration> {
        let plan = self.sources.borrow_mut().plan(now, held, rand::random());
        let queues = self.queues.borrow();
        for (replica, message) in plan.messages {
            if let Some(queue) = queues.get(&replica) {
                // Whoever reads the queue may just have ended; it is removed from the sources then.
                let _ = queue.send(message);
            }
        }
        plan.wake_at
    }
}

/// Fetches what replicas have and the gateway lacks, until it is dropped.
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
