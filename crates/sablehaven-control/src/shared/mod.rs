//! The replicated state of group 0: the configuration, the back ends, the control replicas, the routes and the evacuated
//! zones. Its revision increases with every change that relays must receive.

mod history;

use std::collections::BTreeMap;

use sablehaven_types::{ApplyCommand, ApplyOutcome, ServiceName};
use sablehaven_wire::StateUpdate;
use serde::{Deserialize, Serialize};

use self::history::{ChangeHistory, ChangeKeys};
use crate::{
    codec::{self, CodecError},
    configuration::{ConfigurationDifference, ConfigurationState},
    evacuation::{EvacuationCommand, EvacuationState},
    membership::{MembershipState, ObservationBatch, PlatformUpdate, ServiceWatchers},
    replicas::{ReplicasCommand, ReplicasOutcome, ReplicasState},
    routes::{PutRoutes, RoutesState},
};

/// A command of group 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharedCommand {
    /// An operator's change of the configuration.
    Configuration {
        /// The operator's command.
        command: ApplyCommand,
        /// The proposer's time, in milliseconds since the Unix epoch.
        proposed_at_ms: u64,
    },
    /// Changes in the platform's list of servers.
    Platform(PlatformUpdate),
    /// Agents' observations of back ends.
    Observations(ObservationBatch),
    /// The number of agents that watch each service.
    Watchers(BTreeMap<ServiceName, ServiceWatchers>),
    /// A change of the control replicas.
    Replicas(ReplicasCommand),
    /// Routes that an operator has put.
    Routes(PutRoutes),
    /// An operator's command to start or end the evacuation of a zone.
    Evacuation(EvacuationCommand),
}

/// The outcome of a command of group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SharedOutcome {
    /// The outcome of an operator's change of the configuration.
    Configuration(ApplyOutcome),
    /// The outcome of a command about the control replicas.
    Replicas(ReplicasOutcome),
    /// Any other command was applied.
    Recorded,
}

/// The replicated state of group 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SharedState {
    configuration: ConfigurationState,
    membership: MembershipState,
    replicas: ReplicasState,
    routes: RoutesState,
    revision: u64,
    #[serde(default)]
    evacuation: EvacuationState,
    /// The keys that changed recently. Not part of the replicated state; empty after a restore.
    #[serde(skip)]
    changes: ChangeHistory,
}

impl SharedState {
    /// The configuration.
    pub fn configuration(&self) -> &ConfigurationState {
        &self.configuration
    }

    /// The back ends.
    pub fn membership(&self) -> &MembershipState {
        &self.membership
    }

    /// The control replicas.
    pub fn replicas(&self) -> &ReplicasState {
        &self.replicas
    }

    /// The routes.
    pub fn routes(&self) -> &RoutesState {
        &self.routes
    }

    /// The evacuated zones.
    pub fn evacuation(&self) -> &EvacuationState {
        &self.evacuation
    }

    /// The index of the latest log entry that changed anything that relays receive; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a committed command, with the same result on every replica.
    pub fn apply(&mut self, index: u64, command: SharedCommand) -> SharedOutcome {
        let mut keys = ChangeKeys::default();
        let outcome = self.apply_command(index, command, &mut keys);
        keys.backends = self.membership.refresh(self.configuration.current());
        if !keys.is_empty() {
            self.revision = index;
            self.changes.record(index, keys);
        }
        outcome
    }

    fn apply_command(
        &mut self,
        index: u64,
        command: SharedCommand,
        keys: &mut ChangeKeys,
    ) -> SharedOutcome {
        match command {
            SharedCommand::Configuration {
                command,
                proposed_at_ms,
            } => {
                let (outcome, difference) = self.configuration.apply(command, proposed_at_ms);
                keys.version = matches!(outcome, ApplyOutcome::Accepted { .. });
                let ConfigurationDifference { schema, services } = difference;
                keys.schema = schema;
                keys.services = services;
                SharedOutcome::Configuration(outcome)
            }
            SharedCommand::Platform(update) => {
                self.membership.apply_platform(update);
                SharedOutcome::Recorded
            }
            SharedCommand::Observations(batch) => {
                self.membership.apply_observations(batch);
                SharedOutcome::Recorded
            }
            SharedCommand::Watchers(watchers) => {
                keys.watchers = self.membership.apply_watchers(watchers);
                SharedOutcome::Recorded
            }
            SharedCommand::Replicas(command) => {
                SharedOutcome::Replicas(self.replicas.apply(command))
            }
            SharedCommand::Routes(put) => {
                self.routes.apply(put);
                SharedOutcome::Recorded
            }
            SharedCommand::Evacuation(command) => {
                self.evacuation.apply(index, command);
                SharedOutcome::Recorded
            }
        }
    }

    /// The update that brings a relay from its revision to the current one: `None` if the relay is up to date or ahead of
    /// this replica, a delta if the history reaches back to the relay's revision, otherwise a full update.
    pub fn update_since(&self, revision: u64) -> Option<StateUpdate> {
        if revision >= self.revision {
            return None;
        }
        match self.changes.changes_since(revision) {
            Some(keys) => Some(self.delta(revision, &keys)),
            None => Some(self.full_update()),
        }
    }

    /// An update that contains everything that relays receive.
    pub fn full_update(&self) -> StateUpdate {
        let configuration = self.configuration.current();
        let services = configuration.services.iter();
        let records = self.membership.records().iter();
        let watchers = self.membership.watchers().iter();
        StateUpdate {
            full: true,
            from_revision: 0,
            revision: self.revision,
            configuration_version: configuration.version,
            schema: Some(configuration.schema.clone()),
            services: services
                .map(|(name, service)| (name.clone(), Some(service.clone())))
                .collect(),
            backends: records
                .map(|(id, record)| (id.clone(), Some(record.clone())))
                .collect(),
            agents_per_service: watchers
                .map(|(name, watchers)| (name.clone(), watchers.agents))
                .collect(),
        }
    }

    fn delta(&self, from_revision: u64, keys: &ChangeKeys) -> StateUpdate {
        let configuration = self.configuration.current();
        let records = self.membership.records();
        let watchers = self.membership.watchers();
        StateUpdate {
            full: false,
            from_revision,
            revision: self.revision,
            configuration_version: configuration.version,
            schema: keys.schema.then(|| configuration.schema.clone()),
            services: keys
                .services
                .iter()
                .map(|name| (name.clone(), configuration.services.get(name).cloned()))
                .collect(),
            backends: keys
                .backends
                .iter()
                .map(|id| (id.clone(), records.get(id).cloned()))
                .collect(),
            agents_per_service: keys
                .watchers
                .iter()
                .map(|name| {
                    let agents = watchers.get(name).map_or(0, |watchers| watchers.agents);
                    (name.clone(), agents)
                })
                .collect(),
        }
    }

    /// Encodes the state for a snapshot.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode("encode snapshot of the shared state", self)
    }

    /// Decodes the state from a snapshot.
    pub fn restore(data: &[u8]) -> Result<Self, CodecError> {
        let mut state: Self = codec::decode("decode snapshot of the shared state", data)?;
        state.changes = ChangeHistory::starting_at(state.revision);
        Ok(state)
    }
}
