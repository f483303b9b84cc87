//! The configuration document and the commands that change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{BackendId, CommandId, OperatorId, ServiceName, ShardId, SnapshotId};

/// The complete configuration of a deployment at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version: 0 before the first command, then increased by 1 by each accepted command.
    #[serde(default)]
    pub version: u64,
    /// The deployment's schema file.
    pub schema: SchemaSource,
    /// The services, by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceConfiguration>,
}

/// The text of a deployment's schema file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchemaSource {
    /// The file name, used in error messages.
    pub file_name: String,
    /// The Protocol Buffers source text.
    pub text: String,
}

/// The configuration of one service: its current index snapshot and its routing settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfiguration {
    /// The snapshot that new queries pin.
    pub snapshot: IndexSnapshot,
    /// The limits and routing settings.
    #[serde(default)]
    pub routing: RoutingSettings,
}

/// An index snapshot: one generation of the index together with one partition map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexSnapshot {
    /// Identifies the snapshot. It changes with the generation and with the partition map.
    pub id: SnapshotId,
    /// The partition map: every shard of the snapshot, in ascending order without gaps.
    pub shards: Vec<ShardAssignment>,
}

/// The assignment of one shard to replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardAssignment {
    /// The shard.
    pub shard: ShardId,
    /// The back ends that hold the shard, in any order.
    pub replicas: Vec<BackendId>,
}

/// Limits and routing settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// The number of connections that one back-end server accepts; typically 65 to 110.
    pub connections_per_server: u32,
    /// The number of requests that one back-end server runs concurrently; typically 3 to 5.
    pub slots_per_server: u32,
    /// The budget for hedged requests and retries, in thousandths of the sub-requests that queries need.
    pub extra_load_per_mille: u32,
    /// The quantile of observed latency after which a hedged request may be sent, in thousandths.
    pub hedge_quantile_per_mille: u32,
    /// The time over which a new back end's share of the requests grows to its full value, in milliseconds.
    pub slow_start_ms: u64,
    /// The largest fraction of a service's back ends that may be excluded on suspicion alone, in thousandths.
    pub suspicion_limit_per_mille: u32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            connections_per_server: 65,
            slots_per_server: 3,
            extra_load_per_mille: 50,
            hedge_quantile_per_mille: 970,
            slow_start_ms: 10_000,
            suspicion_limit_per_mille: 300,
        }
    }
}

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigurationChange {
    /// Replaces the schema and all services. The `version` of the new document is ignored.
    ReplaceAll {
        /// The new document.
        configuration: Configuration,
    },
    /// Adds or replaces one service.
    SetService {
        /// The service.
        service: ServiceName,
        /// The configuration of the service.
        configuration: ServiceConfiguration,
    },
    /// Publishes a new index snapshot for one service.
    PublishSnapshot {
        /// The service.
        service: ServiceName,
        /// The snapshot.
        snapshot: IndexSnapshot,
    },
    /// Replaces the routing settings of one service.
    SetRouting {
        /// The service.
        service: ServiceName,
        /// The settings.
        routing: RoutingSettings,
    },
    /// Removes one service.
    RemoveService {
        /// The service.
        service: ServiceName,
    },
}

/// An operator's command: a compare-and-set on the configuration's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyCommand {
    /// Identifies the command. A resend with the same id returns the outcome of the first submission.
    pub command_id: CommandId,
    /// The operator who sends the command.
    pub operator: OperatorId,
    /// The operator's reason for the change, as free text.
    #[serde(default)]
    pub reason: String,
    /// The version on which the change is based.
    pub expected_version: u64,
    /// The change.
    pub change: ConfigurationChange,
}

/// An accepted command, kept in the bounded history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRecord {
    /// The version that the command created.
    pub version: u64,
    /// The id of the command.
    pub command_id: CommandId,
    /// The operator who sent the command.
    pub operator: OperatorId,
    /// The operator's reason.
    pub reason: String,
    /// The time at which the leader proposed the command, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The change was committed by a quorum and synced to disk.
    Accepted {
        /// The version that the command created.
        version: u64,
    },
    /// The expected version is not the current one: another command was accepted first.
    Conflict {
        /// The current version.
        current_version: u64,
        /// The command that created the version after the expected one, if it is still in the history.
        winner: Option<CommandRecord>,
    },
    /// The change is invalid; nothing was proposed or applied.
    Invalid {
        /// Every reason why the change is invalid.
        reasons: Vec<String>,
    },
}
