//! The outgoing connections of this replica, by the replica that answers at each.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use sablehaven_consensus::{Message, ReplicaId};
use tokio::{sync::mpsc, task::AbortHandle, time::interval};

use super::{
    introduction::PeerContext,
    link::{Outgoing, keep_link},
    payload::{NO_GROUP, PeerPayload},
};
use crate::{
    driver::{SharedStateHandle, read},
    metrics::Metrics,
};

/// Messages that may wait for one connection; more are dropped, and the replicas send them again.
const QUEUE: usize = 4_096;

/// Time between two looks at which connections are wanted.
const REVIEW_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// Time for which a replica that dialled this one is dialled back.
const HEARD_LIMIT: std::time::Duration = std::time::Duration::from_secs(60);

/// The outgoing connections.
pub(crate) struct Links {
    routes: RwLock<BTreeMap<SocketAddr, Route>>,
    metrics: Metrics,
}

struct Route {
    replica: ReplicaId,
    sender: mpsc::Sender<Outgoing>,
    is_up: bool,
}

impl Links {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            routes: RwLock::new(BTreeMap::new()),
            metrics,
        }
    }

    /// Hands a message to a connection of the replica, or drops it: consensus allows for loss.
    pub(crate) fn send(&self, to: ReplicaId, group: u32, message: Message) {
        let payload = PeerPayload::Consensus { to, message };
        if self.hand_over(to, Outgoing { group, payload }) {
            self.metrics.peer_messages_sent.inc();
        } else {
            self.metrics.peer_messages_dropped.inc();
        }
    }

    /// Hands what belongs to no group to a connection of the replica, or drops it.
    pub(crate) fn send_payload(&self, to: ReplicaId, payload: PeerPayload) {
        let group = NO_GROUP;
        self.hand_over(to, Outgoing { group, payload });
    }

    fn hand_over(&self, to: ReplicaId, outgoing: Outgoing) -> bool {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let mut up = routes.values().filter(|route| route.is_up);
        up.find(|route| route.replica == to)
            .is_some_and(|route| route.sender.try_send(outgoing).is_ok())
    }

    /// The replicas to which a connection is up.
    pub(crate) fn connected(&self) -> Vec<ReplicaId> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let up = routes.values().filter(|route| route.is_up);
        let replicas: BTreeSet<ReplicaId> = up.map(|route| route.replica).collect();
        replicas.into_iter().collect()
    }

    /// Whether a connection to the replica is up.
    pub(crate) fn is_connected(&self, replica: ReplicaId) -> bool {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let mut routes = routes.values();
        routes.any(|route| route.is_up && route.replica == replica)
    }

    pub(super) fn add_route(
        &self,
        address: SocketAddr,
        replica: ReplicaId,
        sender: mpsc::Sender<Outgoing>,
    ) {
        let route = Route {
            replica,
            sender,
            is_up: true,
        };
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        routes.insert(address, route);
    }

    pub(super) fn set_down(&self, address: SocketAddr) {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(route) = routes.get_mut(&address) {
            route.is_up = false;
        }
    }

    fn remove(&self, address: SocketAddr) {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        routes.remove(&address);
    }

    /// The addresses to dial: the configured ones, and for replicas that no configured address leads
    /// to, those of the shared state, of the log, and of replicas that dialled this one. The last are
    /// needed by a new replica: it cannot answer a leader that its settings do not name, and learns
    /// the shared state only by answering.
    fn wanted(&self, context: &PeerContext, state: &SharedStateHandle) -> BTreeSet<SocketAddr> {
        let mut wanted = context.addresses_to_dial();
        let mut reached = self.replicas_at(&wanted);
        reached.insert(context.replica);
        let recorded = read(state, |state| state.replicas().replicas().clone());
        for (replica, addresses) in recorded {
            if reached.insert(replica) {
                wanted.insert(addresses.internal);
            }
        }
        let stored = context.directory.stored();
        let heard = context.directory.heard_within(HEARD_LIMIT);
        for (replica, address) in stored.into_iter().chain(heard) {
            if reached.insert(replica) {
                wanted.insert(address);
            }
        }
        wanted.extend(self.up_to_others(&reached));
        wanted
    }

    /// The replicas that answered last at these addresses.
    fn replicas_at(&self, addresses: &BTreeSet<SocketAddr>) -> BTreeSet<ReplicaId> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let known = addresses.iter().filter_map(|address| routes.get(address));
        known.map(|route| route.replica).collect()
    }

    /// Connections that are up and lead to none of these replicas.
    fn up_to_others(&self, reached: &BTreeSet<ReplicaId>) -> Vec<SocketAddr> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let others = routes
            .iter()
            .filter(|(_, route)| route.is_up && !reached.contains(&route.replica));
        others.map(|(address, _)| *address).collect()
    }
}

/// Keeps the wanted connections up until it is dropped.
pub(crate) async fn keep_links(
    context: Arc<PeerContext>,
    links: Arc<Links>,
    state: SharedStateHandle,
) {
    let mut tasks = Tasks::default();
    let mut ticker = interval(REVIEW_INTERVAL);
    loop {
        ticker.tick().await;
        let wanted = links.wanted(&context, &state);
        tasks.drop_unwanted(&wanted, &links);
        for address in wanted {
            tasks.ensure(address, &context, &links);
        }
    }
}

/// The tasks of the connections; ends them all when it is dropped.
#[derive(Default)]
struct Tasks {
    running: BTreeMap<SocketAddr, AbortHandle>,
}

impl Tasks {
    fn ensure(&mut self, address: SocketAddr, context: &Arc<PeerContext>, links: &Arc<Links>) {
        if self.running.contains_key(&address) {
            return;
        }
        let (sender, queue) = mpsc::channel(QUEUE);
        let (context, links) = (Arc::clone(context), Arc::clone(links));
        let task = tokio::spawn(keep_link(context, links, address, queue, sender));
        self.running.insert(address, task.abort_handle());
    }

    fn drop_unwanted(&mut self, wanted: &BTreeSet<SocketAddr>, links: &Links) {
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
