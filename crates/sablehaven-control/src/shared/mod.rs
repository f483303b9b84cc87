//! The state of group 0: configuration, membership and the control replicas, with a revision that
//! grows with every change that relays must hear of.

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
    /// What changed in the platform's list.
    Platform(PlatformUpdate),
    /// What agents saw.
    Observations(ObservationBatch),
    /// How many agents watch each service.
    Watchers(BTreeMap<ServiceName, ServiceWatchers>),
    /// About the control replicas.
    Replicas(ReplicasCommand),
    /// An operator's routes.
    Routes(PutRoutes),
    /// An operator's order about a zone.
    Evacuation(EvacuationCommand),
}

/// What became of a command of group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SharedOutcome {
    /// Of an operator's change of the configuration.
    Configuration(ApplyOutcome),
    /// Of a command about the control replicas.
    Replicas(ReplicasOutcome),
    /// Of any other command.
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
    /// Which keys changed lately; not part of the replicated state, empty after a restore.
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

    /// The index of the latest entry that changed what relays hear of; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a committed command; the same on every replica.
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
            SharedCommand::Evacuation(order) => {
                self.evacuation.apply(index, order);
                SharedOutcome::Recorded
            }
        }
    }

    /// The update that brings a relay from its revision to the current one: `None` if it is there
    /// (or ahead of this replica), a delta if the changes since are still known, else the whole.
    pub fn update_since(&self, revision: u64) -> Option<StateUpdate> {
        if revision >= self.revision {
            return None;
        }
        match self.changes.since(revision) {
            Some(keys) => Some(self.delta(revision, &keys)),
            None => Some(self.full_update()),
        }
    }

    /// The whole state as an update.
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

    /// The state's encoding for a snapshot.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode("encode snapshot of the shared state", self)
    }

    /// The state from a snapshot.
    pub fn restore(data: &[u8]) -> Result<Self, CodecError> {
        let mut state: Self = codec::decode("decode snapshot of the shared state", data)?;
        state.changes = ChangeHistory::starting_at(state.revision);
        Ok(state)
    }
}
