//! The connections to control replicas that stand, and the fetching of routes and list on them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use sablehaven_types::Distance;
use sablehaven_wire::{GatewayToControl, StateVersions};
use tokio::{
    sync::{Notify, mpsc},
    time::sleep_until,
};

use crate::{gateway::Gateway, sources::StateSources};

/// Messages for one replica that wait for its connection to take them.
pub(crate) type LinkQueue = mpsc::UnboundedReceiver<GatewayToControl>;

/// The connections that stand.
#[derive(Default)]
pub(crate) struct ControlLinks {
    sources: RefCell<StateSources>,
    queues: RefCell<BTreeMap<SocketAddr, mpsc::UnboundedSender<GatewayToControl>>>,
    changed: Notify,
}

impl ControlLinks {
    /// A connection to a replica stands. What is to be sent on it comes from the queue: at most a few messages,
    /// since nothing is asked for twice within half a second.
    pub(crate) fn open(&self, replica: SocketAddr) -> LinkQueue {
        let (sender, queue) = mpsc::unbounded_channel();
        self.queues.borrow_mut().insert(replica, sender);
        queue
    }

    /// The connection has ended.
    pub(crate) fn close(&self, replica: SocketAddr) {
        self.queues.borrow_mut().remove(&replica);
        self.sources.borrow_mut().remove(replica);
        self.look_again();
    }

    /// The replica has said where it is.
    pub(crate) fn place(&self, replica: SocketAddr, distance: Distance) {
        self.sources.borrow_mut().add(replica, distance);
        self.look_again();
    }

    /// The replica has said what it has.
    pub(crate) fn offer(&self, replica: SocketAddr, versions: StateVersions) {
        self.sources.borrow_mut().offer(replica, versions);
        self.look_again();
    }

    /// Whether the replica is the one that tells this gateway who takes part.
    pub(crate) fn is_preferred(&self, replica: SocketAddr) -> bool {
        self.sources.borrow().preferred() == Some(replica)
    }

    /// Something may have to be fetched from elsewhere now.
    pub(crate) fn look_again(&self) {
        self.changed.notify_one();
    }

    /// Sends what is due; answers when to look again.
    fn step(&self, now: Duration, held: StateVersions) -> Option<Duration> {
        let steps = self.sources.borrow_mut().next(now, held, rand::random());
        let queues = self.queues.borrow();
        for (replica, message) in steps.messages {
            if let Some(queue) = queues.get(&replica) {
                // Whoever reads the queue may just have ended; it is removed from the sources then.
                let _ = queue.send(message);
            }
        }
        steps.look_at
    }
}

/// Fetches what replicas have and the gateway lacks, until it is dropped.
pub(crate) async fn fetch_state(gateway: Rc<Gateway>) {
    let links = &gateway.control_links;
    loop {
        let now = gateway.clock.now();
        let look_at = links.step(now, gateway.versions());
        let wait = look_at.map(|at| Instant::now() + at.saturating_sub(now));
        tokio::select! {
            () = links.changed.notified() => {}
            () = sleep_until(wait.unwrap_or_else(Instant::now).into()), if wait.is_some() => {}
        }
    }
}
