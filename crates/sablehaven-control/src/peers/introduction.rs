//! The introductions that two replicas exchange at the start of a connection, and the addresses learned from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_consensus::ReplicaId;
use sablehaven_wire::{
    Connection, Hello, PROTOCOL_VERSION, PeerMessage, Role, WireError, connect_from,
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{
    listing::PeerListing,
    payload::{NO_GROUP, PeerPayload, decode, encode},
};
use crate::{
    Config,
    codec::CodecError,
    driver::{DriverHandle, SharedStateHandle, StoredAddresses, read},
    replicas::ReplicaAddresses,
};

/// The time within which the introduction of the other replica must arrive.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection between two control replicas.
pub(crate) type PeerConnection = Connection<PeerMessage, PeerMessage>;

/// Errors of a connection between replicas. Each names the failed step and the peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum PeerError {
    /// {0}
    Wire(#[from] WireError),
    /// server listing from replica {peer}: it changes a listing that this replica does not have
    ListingGap {
        /// The address of the other replica.
        peer: String,
    },
    /// message of replica {peer}: {source}
    Codec {
        /// The address of the other replica.
        peer: String,
        /// The cause.
        source: CodecError,
    },
    /// introduction of replica {peer}: none came in time
    NotIntroduced {
        /// The address of the other replica.
        peer: String,
    },
    /// introduction of replica {peer}: {reason}
    Refused {
        /// The address of the other replica.
        peer: String,
        /// Why the replica is refused.
        reason: String,
    },
    /// connection to replica {peer}: timed out
    Timeout {
        /// The address of the other replica.
        peer: String,
    },
}

/// The first message that a replica sends on a connection with another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Introduction {
    pub(crate) replica: ReplicaId,
    pub(crate) addresses: ReplicaAddresses,
    pub(crate) ledger_groups: u32,
    /// Whether the sender may form a new deployment.
    pub(crate) may_bootstrap: bool,
    /// Whether the sender has the log of a deployment.
    pub(crate) is_formed: bool,
    /// The first voters, if the sender still has the first entry of the log. A new replica that is one of them writes
    /// the same entry. The set contains the identity that is stored on its disk, so the disk has not been replaced
    /// since the set was chosen; as it is still empty, the replica has not voted yet.
    pub(crate) first_voters: Option<BTreeSet<ReplicaId>>,
    /// The addresses for internal connections of the members that the sender knows. If the settings of a new replica
    /// name only a member that is disconnected from the others, it finds the others by these addresses.
    pub(crate) members: BTreeSet<SocketAddr>,
}

/// The addresses of replicas according to their latest introductions; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    own: ReplicaId,
    introduced: Arc<Mutex<BTreeMap<ReplicaId, IntroducedReplica>>>,
    /// Addresses from the stored log, kept until the shared state contains them.
    stored: Arc<Mutex<StoredAddresses>>,
}

/// The addresses in the latest introduction of a replica.
#[derive(Clone, Copy, Debug)]
struct IntroducedReplica {
    addresses: ReplicaAddresses,
    introduced_at: Instant,
}

impl Directory {
    /// Creates a directory with the addresses of this replica, and those of the others in its stored log.
    pub(crate) fn new(
        own: ReplicaId,
        addresses: ReplicaAddresses,
        stored: StoredAddresses,
    ) -> Self {
        let directory = Self {
            own,
            introduced: Arc::default(),
            stored: Arc::new(Mutex::new(stored)),
        };
        directory.record(own, addresses);
        directory
    }

    /// Records the addresses of a replica, and removes any other replica with the same address for internal
    /// connections: after the loss of a disk a replica has a new identity at the old address, so only the latest
    /// introduction at an address is valid.
    fn record(&self, replica: ReplicaId, addresses: ReplicaAddresses) {
        let introduced_at = Instant::now();
        let mut introduced = self.lock();
        introduced.retain(|other, entry| {
            *other == replica
                || *other == self.own
                || entry.addresses.internal != addresses.internal
        });
        introduced.insert(
            replica,
            IntroducedReplica {
                addresses,
                introduced_at,
            },
        );
    }

    /// The other replicas that have introduced themselves; at each address only the latest one.
    pub(crate) fn others(&self) -> BTreeMap<ReplicaId, ReplicaAddresses> {
        let introduced = self.lock();
        let others = introduced
            .iter()
            .filter(|(replica, _)| **replica != self.own);
        others
            .map(|(replica, entry)| (*replica, entry.addresses))
            .collect()
    }

    /// The addresses of a replica that has introduced itself, or of this one.
    pub(crate) fn addresses(&self, replica: ReplicaId) -> Option<ReplicaAddresses> {
        self.lock().get(&replica).map(|entry| entry.addresses)
    }

    /// The other replicas that have introduced themselves within the last `period`.
    pub(crate) fn introduced_within(&self, period: Duration) -> BTreeMap<ReplicaId, SocketAddr> {
        let introduced = self.lock();
        let recent = introduced.iter().filter(|(replica, entry)| {
            **replica != self.own && entry.introduced_at.elapsed() < period
        });
        recent
            .map(|(replica, entry)| (*replica, entry.addresses.internal))
            .collect()
    }

    /// The addresses from the stored log; empty once the shared state contains them.
    pub(crate) fn stored(&self) -> BTreeMap<ReplicaId, SocketAddr> {
        lock(&self.stored).internal.clone()
    }

    /// Records that the shared state has applied the entry at `index`. Once it has applied the whole stored log, the
    /// addresses from that log are removed.
    pub(crate) fn record_applied(&self, index: u64) {
        let mut stored = lock(&self.stored);
        if index >= stored.last_index {
            stored.internal.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ReplicaId, IntroducedReplica>> {
        self.introduced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state of this replica that its connections with other replicas use.
pub(crate) struct PeerContext {
    pub(crate) config: Arc<Config>,
    pub(crate) replica: ReplicaId,
    pub(crate) addresses: ReplicaAddresses,
    pub(crate) directory: Directory,
    pub(crate) driver: DriverHandle,
    pub(super) listing: PeerListing,
    state: SharedStateHandle,
    /// The addresses to connect to according to the settings, which may change while the process runs.
    configured: Mutex<BTreeSet<SocketAddr>>,
    /// The addresses of members according to the introductions of other replicas.
    learned: Mutex<BTreeSet<SocketAddr>>,
}

impl PeerContext {
    pub(crate) fn new(
        config: Arc<Config>,
        replica: ReplicaId,
        addresses: ReplicaAddresses,
        directory: Directory,
        driver: DriverHandle,
        state: SharedStateHandle,
        listing: PeerListing,
    ) -> Self {
        let configured = config.peers.iter().copied().collect();
        Self {
            config,
            replica,
            addresses,
            directory,
            driver,
            listing,
            state,
            configured: Mutex::new(configured),
            learned: Mutex::default(),
        }
    }

    /// Replaces the configured addresses.
    pub(crate) fn set_configured(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let addresses = addresses
            .into_iter()
            .filter(|address| *address != self.addresses.internal);
        *lock(&self.configured) = addresses.collect();
    }

    /// The configured addresses and, while this replica is not a member and so cannot know the members from the log,
    /// those that other replicas have sent.
    pub(crate) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses = lock(&self.configured).clone();
        let is_member = read(&self.state, |state| {
            state.replicas().replicas().contains_key(&self.replica)
        });
        if !is_member {
            addresses.extend(lock(&self.learned).iter());
        }
        addresses.remove(&self.addresses.internal);
        addresses
    }

    /// Adds the addresses of members from another replica's introduction.
    fn add_learned_addresses(&self, members: &BTreeSet<SocketAddr>) {
        if !members.is_empty() {
            lock(&self.learned).extend(members);
        }
    }

    /// The addresses for internal connections of the members that this replica knows.
    fn members(&self) -> BTreeSet<SocketAddr> {
        read(&self.state, |state| {
            let members = state.replicas().replicas().values();
            members.map(|addresses| addresses.internal).collect()
        })
    }

    /// The message that opens a connection.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: self.config.deployment.clone(),
            role: Role::Control,
            sender: self.replica.to_string(),
        }
    }

    /// The current introduction of this replica, or `None` if its driver has ended.
    pub(crate) async fn introduction(&self) -> Option<Introduction> {
        let status = self.driver.status().await?;
        let shared = &status.groups.first()?.replica;
        let holds_first_entry = shared.first_index <= 1 && shared.membership_index == 1;
        let voters = &shared.membership.voters;
        let is_blank = |group: &crate::driver::GroupState| {
            group.replica.last_index == 0 && group.replica.term == 0
        };
        Some(Introduction {
            replica: self.replica,
            addresses: self.addresses,
            ledger_groups: self.config.ledger_groups,
            may_bootstrap: self.config.bootstrap,
            is_formed: !status.groups.iter().all(is_blank),
            first_voters: holds_first_entry.then(|| voters.clone()),
            members: self.members(),
        })
    }

    /// Sends this replica's introduction and receives that of the other one.
    pub(crate) async fn exchange_introductions(
        &self,
        connection: &mut PeerConnection,
    ) -> Result<Introduction, PeerError> {
        let peer = connection.peer_address.to_string();
        let not_introduced = PeerError::NotIntroduced { peer: peer.clone() };
        let Some(own) = self.introduction().await else {
            return Err(not_introduced);
        };
        let message = encode(NO_GROUP, &PeerPayload::Introduction(own), &peer)?;
        connection.writer.send(&message).await?;
        let received = timeout(INTRODUCTION_TIMEOUT, connection.reader.receive()).await;
        let Ok(received) = received else {
            return Err(not_introduced);
        };
        match decode(&received?, &peer)? {
            PeerPayload::Introduction(remote) => self.accept(remote, &peer),
            _ => Err(not_introduced),
        }
    }

    /// Checks the introduction of another replica and records its addresses.
    fn accept(&self, remote: Introduction, peer: &str) -> Result<Introduction, PeerError> {
        let refuse = |reason: String| {
            let peer = peer.to_owned();
            Err(PeerError::Refused { peer, reason })
        };
        if remote.replica == self.replica {
            return refuse("it is this replica itself".to_owned());
        }
        if remote.ledger_groups != self.config.ledger_groups {
            return refuse(format!(
                "it has {} ledger groups, this replica has {}",
                remote.ledger_groups, self.config.ledger_groups
            ));
        }
        self.directory.record(remote.replica, remote.addresses);
        self.add_learned_addresses(&remote.members);
        Ok(remote)
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connects to a replica and exchanges introductions.
pub(crate) async fn connect(
    context: &PeerContext,
    address: SocketAddr,
) -> Result<(PeerConnection, Introduction), PeerError> {
    let mut connection = connect_from(
        context.config.connect_from,
        address,
        &context.hello(),
        Role::Control,
    )
    .await?;
    let remote = context.exchange_introductions(&mut connection).await?;
    Ok((connection, remote))
}

/// Connects to an address only to receive the introduction of the replica that listens there.
pub(crate) async fn probe(
    context: &PeerContext,
    address: SocketAddr,
) -> Result<Introduction, PeerError> {
    let (_, introduction) = connect(context, address).await?;
    Ok(introduction)
}
