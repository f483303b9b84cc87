//! The state and the handles that the tasks of a replica share.

use std::{net::SocketAddr, sync::Arc};

use sablehaven_consensus::ReplicaId;
use sablehaven_wire::{BootTimeClock, ControlToRelay};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    Config,
    driver::{DriverHandle, PublishedState, SharedStateHandle, read},
    gateways::Gateways,
    membership::AgentObservation,
    metrics::Metrics,
    operator::CallError,
    peers::{Links, PeerContext},
    quotas::{ProbeQueue, ReplicaQuotas},
    relays::Registry,
    replicas::ReplicaAddresses,
};

/// The state and the handles that the tasks of a replica share.
pub(crate) struct Context {
    pub(crate) config: Arc<Config>,
    pub(crate) replica: ReplicaId,
    pub(crate) driver: DriverHandle,
    pub(crate) state: SharedStateHandle,
    pub(crate) published: watch::Receiver<PublishedState>,
    pub(crate) registry: Registry,
    pub(crate) gateways: Arc<Gateways>,
    pub(crate) observations: mpsc::Sender<AgentObservation>,
    pub(crate) peers: Arc<PeerContext>,
    pub(crate) links: Arc<Links>,
    pub(crate) quotas: Arc<ReplicaQuotas>,
    pub(crate) probes: ProbeQueue,
    pub(crate) age_clock: BootTimeClock,
    pub(crate) metrics: Metrics,
    /// Cancelled once the replica accepts no new work.
    pub(crate) stopping: CancellationToken,
}

impl Context {
    /// Whether this replica leads group 0, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.published.borrow().is_leader()
    }

    /// Asks a quorum to confirm that this replica leads, which proves that its applied state is current.
    pub(crate) async fn require_leadership_proof(&self) -> Result<(), CallError> {
        match self.driver.prove_leadership().await {
            Some(_) => Ok(()),
            None => Err(CallError::NotLeader),
        }
    }

    /// The message that tells a relay that this replica does not lead, with the leader's address if known.
    pub(crate) fn not_leader(&self) -> ControlToRelay {
        let leader = self.other_leader().map(|addresses| addresses.internal);
        ControlToRelay::NotLeader { leader }
    }

    /// The address of the leader's operator interface, if another replica leads and its addresses are known.
    pub(crate) fn leader_http_address(&self) -> Option<SocketAddr> {
        self.other_leader().map(|addresses| addresses.http)
    }

    /// The addresses of the leader, if another replica leads and its addresses are known.
    pub(crate) fn other_leader(&self) -> Option<ReplicaAddresses> {
        let leader = self.published.borrow().leader?;
        if leader == self.replica {
            return None;
        }
        read(&self.state, |state| {
            state.replicas().replicas().get(&leader).copied()
        })
    }
}
