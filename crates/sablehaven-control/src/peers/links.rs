//! The outgoing connections of this replica to the other replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use sablehaven_consensus::{Message, ReplicaId};
use tokio::{sync::mpsc, task::AbortHandle, time::interval};

use super::{
    introduction::PeerContext,
    link::{Outgoing, maintain_link},
    payload::{NO_GROUP, PeerPayload},
};
use crate::{
    driver::{SharedStateHandle, read},
    metrics::Metrics,
};

/// The capacity of the message queue of one connection. Messages beyond it are dropped; the replicas send them again.
const QUEUE_CAPACITY: usize = 4_096;

/// The interval at which the set of wanted connections is updated.
const REVIEW_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// How long after another replica's latest introduction this one connects back to it.
const CONNECT_BACK_PERIOD: std::time::Duration = std::time::Duration::from_secs(60);

/// The outgoing connections.
pub(crate) struct Links {
    /// The last connection to each address, whether or not it is still up.
    links: RwLock<BTreeMap<SocketAddr, Link>>,
    metrics: Metrics,
}

/// A connection to an address.
struct Link {
    /// The replica that answered at the address.
    replica: ReplicaId,
    sender: mpsc::Sender<Outgoing>,
    is_up: bool,
}

impl Links {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            links: RwLock::new(BTreeMap::new()),
            metrics,
        }
    }

    /// Queues a consensus message on a connection to the replica, or drops it if none is up or the queue is full.
    /// Consensus tolerates the loss.
    pub(crate) fn send(&self, to: ReplicaId, group: u32, message: Message) {
        let payload = PeerPayload::Consensus { to, message };
        if self.enqueue(to, Outgoing { group, payload }) {
            self.metrics.peer_messages_sent.inc();
        } else {
            self.metrics.peer_messages_dropped.inc();
        }
    }

    /// Queues a payload that belongs to no consensus group on a connection to the replica, or drops it.
    pub(crate) fn send_payload(&self, to: ReplicaId, payload: PeerPayload) {
        let group = NO_GROUP;
        self.enqueue(to, Outgoing { group, payload });
    }

    /// Queues a message; returns false if no connection is up or the queue is full.
    fn enqueue(&self, to: ReplicaId, outgoing: Outgoing) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let mut up = links.values().filter(|link| link.is_up);
        up.find(|link| link.replica == to)
            .is_some_and(|link| link.sender.try_send(outgoing).is_ok())
    }

    /// The replicas to which a connection is up, each once.
    pub(crate) fn connected(&self) -> Vec<ReplicaId> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let up = links.values().filter(|link| link.is_up);
        let replicas: BTreeSet<ReplicaId> = up.map(|link| link.replica).collect();
        replicas.into_iter().collect()
    }

    /// Whether a connection to the replica is up.
    pub(crate) fn is_connected(&self, replica: ReplicaId) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let mut links = links.values();
        links.any(|link| link.is_up && link.replica == replica)
    }

    /// Records that a connection is up.
    pub(super) fn set_up(
        &self,
        address: SocketAddr,
        replica: ReplicaId,
        sender: mpsc::Sender<Outgoing>,
    ) {
        let link = Link {
            replica,
            sender,
            is_up: true,
        };
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.insert(address, link);
    }

    /// Records that a connection has ended.
    pub(super) fn set_down(&self, address: SocketAddr) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get_mut(&address) {
            link.is_up = false;
        }
    }

    fn remove(&self, address: SocketAddr) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.remove(&address);
    }

    /// The addresses to connect to.
    ///
    /// These are the configured addresses and, for replicas that are not reached at any of them, the addresses from the
    /// shared state, from the stored log, and from the introductions of replicas that connected to this one. A new
    /// replica needs the addresses from introductions: without them it cannot answer a leader that its settings do not
    /// name, and it receives the shared state only after it has answered. Connections that are up to any other replica
    /// stay open.
    fn wanted_addresses(
        &self,
        context: &PeerContext,
        state: &SharedStateHandle,
    ) -> BTreeSet<SocketAddr> {
        let mut wanted = context.peer_addresses();
        let mut reached = self.replicas_at(&wanted);
        reached.insert(context.replica);
        let members = read(state, |state| state.replicas().replicas().clone());
        for (replica, addresses) in members {
            if reached.insert(replica) {
                wanted.insert(addresses.internal);
            }
        }
        let stored = context.directory.stored();
        let introduced = context.directory.introduced_within(CONNECT_BACK_PERIOD);
        for (replica, address) in stored.into_iter().chain(introduced) {
            if reached.insert(replica) {
                wanted.insert(address);
            }
        }
        wanted.extend(self.up_to_others(&reached));
        wanted
    }

    /// The replicas that last answered at these addresses.
    fn replicas_at(&self, addresses: &BTreeSet<SocketAddr>) -> BTreeSet<ReplicaId> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let known = addresses.iter().filter_map(|address| links.get(address));
        known.map(|link| link.replica).collect()
    }

    /// The addresses of connections that are up and lead to none of these replicas.
    fn up_to_others(&self, reached: &BTreeSet<ReplicaId>) -> Vec<SocketAddr> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let others = links
            .iter()
            .filter(|(_, link)| link.is_up && !reached.contains(&link.replica));
        others.map(|(address, _)| *address).collect()
    }
}

/// Keeps the wanted connections open until the future is dropped.
pub(crate) async fn maintain_links(
    context: Arc<PeerContext>,
    links: Arc<Links>,
    state: SharedStateHandle,
) {
    let mut tasks = Tasks::default();
    let mut ticker = interval(REVIEW_INTERVAL);
    loop {
        ticker.tick().await;
        let wanted = links.wanted_addresses(&context, &state);
        tasks.abort_unwanted(&wanted, &links);
        for address in wanted {
            tasks.ensure_running(address, &context, &links);
        }
    }
}

/// The tasks of the connections, by address; aborts all of them when dropped.
#[derive(Default)]
struct Tasks {
    running: BTreeMap<SocketAddr, AbortHandle>,
}

impl Tasks {
    /// Starts the task of a connection if it is not running.
    fn ensure_running(
        &mut self,
        address: SocketAddr,
        context: &Arc<PeerContext>,
        links: &Arc<Links>,
    ) {
        if self.running.contains_key(&address) {
            return;
        }
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let (context, links) = (Arc::clone(context), Arc::clone(links));
        let task = tokio::spawn(maintain_link(context, links, address, queue, sender));
        self.running.insert(address, task.abort_handle());
    }

    /// Aborts the tasks of the connections that are no longer wanted.
    fn abort_unwanted(&mut self, wanted: &BTreeSet<SocketAddr>, links: &Links) {
        self.running.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
                links.remove(*address);
            }
            is_wanted
        });
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in self.running.values() {
            task.abort();
        }
    }
}

#[cfg(test)]
mod tests;
