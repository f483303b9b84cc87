//! Where other replicas are reached, as the entries of this replica's own log say.

use std::{collections::BTreeMap, net::SocketAddr};

use sablehaven_consensus::{Entry, EntryPayload, ReplicaId};

use crate::{codec, replicas::ReplicasCommand, shared::SharedCommand};

/// Addresses from entries that may not be applied yet.
///
/// After a loss of power nobody knows which entries are committed, so none is applied and the shared
/// state names nobody; but the replicas must find each other before a leader can tell. Members of the
/// log that do not take effect in the end are dialled in vain for that time only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoredAddresses {
    /// For internal connections.
    pub(crate) internal: BTreeMap<ReplicaId, SocketAddr>,
    /// Once this entry is applied the shared state says as much.
    pub(crate) last_index: u64,
}

impl StoredAddresses {
    /// Reads the entries of group 0. One that cannot be read names nobody: applying it reports why.
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
