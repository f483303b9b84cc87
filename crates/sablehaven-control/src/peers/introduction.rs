//! What replicas tell each other before anything else, and what they remember of it.

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

/// Time for the other side's introduction.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection between two control replicas.
pub(crate) type PeerConnection = Connection<PeerMessage, PeerMessage>;

/// Errors of a connection between replicas; each names the step and the peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum PeerError {
    /// {0}
    Wire(#[from] WireError),
    /// list of servers of replica {peer}: it changes a reading that this replica does not have
    ListingGap {
        /// The other side.
        peer: String,
    },
    /// message of replica {peer}: {source}
    Codec {
        /// The other side.
        peer: String,
        /// The cause.
        source: CodecError,
    },
    /// introduction of replica {peer}: none came in time
    NotIntroduced {
        /// The other side.
        peer: String,
    },
    /// introduction of replica {peer}: {reason}
    Refused {
        /// The other side.
        peer: String,
        /// What does not fit.
        reason: String,
    },
    /// connection to replica {peer}: no sign of life
    Silent {
        /// The other side.
        peer: String,
    },
}

/// Who a replica is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Introduction {
    pub(crate) replica: ReplicaId,
    pub(crate) addresses: ReplicaAddresses,
    pub(crate) ledger_groups: u32,
    /// Whether it may form a new deployment.
    pub(crate) may_bootstrap: bool,
    /// Whether it holds the log of a deployment.
    pub(crate) is_formed: bool,
    /// The first voters, where it still holds the log's first entry. A new replica that is named
    /// writes the same entry; its disk is the one that was named, so it has voted for nobody yet.
    pub(crate) first_voters: Option<BTreeSet<ReplicaId>>,
    /// Internal addresses of the replicas that it knows as members: a newcomer whose settings name
    /// only a replica that is cut off finds the others by them.
    pub(crate) members: BTreeSet<SocketAddr>,
}

/// Where replicas are reached, as they last said; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    own: ReplicaId,
    known: Arc<Mutex<BTreeMap<ReplicaId, Heard>>>,
    /// Until the shared state says as much.
    stored: Arc<Mutex<StoredAddresses>>,
}

/// What a replica said, and when.
#[derive(Clone, Copy, Debug)]
struct Heard {
    addresses: ReplicaAddresses,
    at: Instant,
}

impl Directory {
    /// A directory that holds this replica, and what its log says of the others.
    pub(crate) fn new(
        own: ReplicaId,
        addresses: ReplicaAddresses,
        stored: StoredAddresses,
    ) -> Self {
        let directory = Self {
            own,
            known: Arc::default(),
            stored: Arc::new(Mutex::new(stored)),
        };
        directory.record(own, addresses);
        directory
    }

    /// The latest replica that introduced itself at an address is the one whose disk is there.
    fn record(&self, replica: ReplicaId, addresses: ReplicaAddresses) {
        let at = Instant::now();
        let mut known = self.lock();
        known.retain(|other, heard| {
            *other == replica
                || *other == self.own
                || heard.addresses.internal != addresses.internal
        });
        known.insert(replica, Heard { addresses, at });
    }

    /// Every other replica that has introduced itself, the latest at each address.
    pub(crate) fn others(&self) -> BTreeMap<ReplicaId, ReplicaAddresses> {
        let known = self.lock();
        let others = known.iter().filter(|(replica, _)| **replica != self.own);
        others
            .map(|(replica, heard)| (*replica, heard.addresses))
            .collect()
    }

    pub(crate) fn addresses(&self, replica: ReplicaId) -> Option<ReplicaAddresses> {
        self.lock().get(&replica).map(|heard| heard.addresses)
    }

    /// The other replicas that introduced themselves within a time.
    pub(crate) fn heard_within(&self, time: Duration) -> BTreeMap<ReplicaId, SocketAddr> {
        let known = self.lock();
        let recent = known
            .iter()
            .filter(|(replica, heard)| **replica != self.own && heard.at.elapsed() < time);
        recent
            .map(|(replica, heard)| (*replica, heard.addresses.internal))
            .collect()
    }

    /// What the log says of the others, as long as the shared state does not say it.
    pub(crate) fn stored(&self) -> BTreeMap<ReplicaId, SocketAddr> {
        lock(&self.stored).internal.clone()
    }

    /// The shared state stands at an entry now.
    pub(crate) fn applied(&self, index: u64) {
        let mut stored = lock(&self.stored);
        if index >= stored.last_index {
            stored.internal.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ReplicaId, Heard>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What connections between replicas need to know of their own.
pub(crate) struct PeerContext {
    pub(crate) config: Arc<Config>,
    pub(crate) replica: ReplicaId,
    pub(crate) addresses: ReplicaAddresses,
    pub(crate) directory: Directory,
    pub(crate) driver: DriverHandle,
    pub(super) listing: PeerListing,
    state: SharedStateHandle,
    /// The addresses to dial that the settings name; they may change while the process runs.
    configured: Mutex<BTreeSet<SocketAddr>>,
    /// Addresses of members that other replicas told of.
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

    /// Takes other addresses to dial in place of those of the settings.
    pub(crate) fn set_configured(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let addresses = addresses
            .into_iter()
            .filter(|each| *each != self.addresses.internal);
        *lock(&self.configured) = addresses.collect();
    }

    /// The addresses to dial that the settings name, and those that others told of while this
    /// replica is no member and so cannot know them from the log.
    pub(crate) fn addresses_to_dial(&self) -> BTreeSet<SocketAddr> {
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

    fn learn(&self, members: &BTreeSet<SocketAddr>) {
        if !members.is_empty() {
            lock(&self.learned).extend(members);
        }
    }

    fn members(&self) -> BTreeSet<SocketAddr> {
        read(&self.state, |state| {
            let members = state.replicas().replicas().values();
            members.map(|addresses| addresses.internal).collect()
        })
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: self.config.deployment.clone(),
            role: Role::Control,
            sender: self.replica.to_string(),
        }
    }

    /// Who this replica is now; `None` when its driver has ended.
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

    /// Sends this replica's introduction and takes the other's.
    pub(crate) async fn introduce(
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
            PeerPayload::Introduction(theirs) => self.check(theirs, &peer),
            _ => Err(not_introduced),
        }
    }

    fn check(&self, theirs: Introduction, peer: &str) -> Result<Introduction, PeerError> {
        let refuse = |reason: String| {
            let peer = peer.to_owned();
            Err(PeerError::Refused { peer, reason })
        };
        if theirs.replica == self.replica {
            return refuse("it is this replica itself".to_owned());
        }
        if theirs.ledger_groups != self.config.ledger_groups {
            return refuse(format!(
                "it has {} ledger groups, this replica has {}",
                theirs.ledger_groups, self.config.ledger_groups
            ));
        }
        self.directory.record(theirs.replica, theirs.addresses);
        self.learn(&theirs.members);
        Ok(theirs)
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Dials a replica and exchanges introductions.
pub(crate) async fn dial(
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
    let theirs = context.introduce(&mut connection).await?;
    Ok((connection, theirs))
}

/// Asks who listens at an address.
pub(crate) async fn probe(
    context: &PeerContext,
    address: SocketAddr,
) -> Result<Introduction, PeerError> {
    let (_, introduction) = dial(context, address).await?;
    Ok(introduction)
}
