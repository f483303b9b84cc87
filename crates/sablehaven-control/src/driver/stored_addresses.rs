//! The addresses of other replicas according to the stored log of this replica.

use std::{collections::BTreeMap, net::SocketAddr};

use sablehaven_consensus::{Entry, EntryPayload, ReplicaId};

use crate::{codec, replicas::ReplicasCommand, shared::SharedCommand};

/// Addresses from log entries that may not have been applied yet.
///
/// After a power loss no replica knows which of its entries are committed. It applies none, so its shared state
/// contains no addresses. But the replicas must connect to each other before they can elect a leader, which determines
/// what is committed. Until then they use the addresses in their stored logs. An address from an entry that is never
/// committed causes failed connection attempts during this time only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoredAddresses {
    /// The address of each replica for internal connections.
    pub(crate) internal: BTreeMap<ReplicaId, SocketAddr>,
    /// The index of the last entry that was read. Once it is applied, the shared state contains these addresses.
    pub(crate) last_index: u64,
}

impl StoredAddresses {
    /// Collects the addresses from the entries of group 0. Entries that cannot be decoded are skipped; the error is
    /// reported when they are applied.
    pub(crate) fn read(entries: &[Entry]) -> Self {
        let mut stored = Self::default();
        for entry in entries {
            stored.last_index = entry.index;
            if let EntryPayload::Command(command) = &entry.payload
                && let Ok(SharedCommand::Replicas(command)) =
                    codec::decode("decode stored command", command)
            {
                stored.add_command(command);
            }
        }
        stored
    }

    /// Adds the addresses that a command contains.
    fn add_command(&mut self, command: ReplicasCommand) {
        match command {
            ReplicasCommand::Form(replicas) => {
                let addresses = replicas.into_iter();
                let internal = addresses.map(|(replica, addresses)| (replica, addresses.internal));
                self.internal.extend(internal);
            }
            ReplicasCommand::Announce { replica, addresses } => {
                self.internal.insert(replica, addresses.internal);
            }
            ReplicasCommand::Begin { kind, addresses } => {
                if let (Some(added), Some(addresses)) = (kind.added(), addresses) {
                    self.internal.insert(added, addresses.internal);
                }
            }
            ReplicasCommand::Advance { .. } => {}
        }
    }
}
