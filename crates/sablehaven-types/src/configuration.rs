//! The configuration document and the commands that change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{BackendId, CommandId, OperatorId, ServiceName, ShardId, SnapshotId};

/// The whole configuration of a deployment at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version; 0 before the first command, then one more for each accepted command.
    #[serde(default)]
    pub version: u64,
    /// The deployment's schema.
    pub schema: SchemaSource,
    /// The services, by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceConfiguration>,
}

/// The text of a deployment's schema file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchemaSource {
    /// The file's name, used in error messages.
    pub file_name: String,
    /// The Protocol Buffers source.
    pub text: String,
}

/// One service: its pinned index snapshot and its routing settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfiguration {
    /// The snapshot that new queries pin.
    pub snapshot: IndexSnapshot,
    /// Limits and routing settings.
    #[serde(default)]
    pub routing: RoutingSettings,
}

/// An index snapshot: one generation of the index with one partition map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexSnapshot {
    /// Names the snapshot; a change of generation or map gets a new one.
    pub id: SnapshotId,
    /// The partition map: every shard of the snapshot, ascending by shard, without gaps.
    pub shards: Vec<ShardAssignment>,
}

/// The replicas that hold one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardAssignment {
    /// The shard.
    pub shard: ShardId,
    /// Back ends that hold it, in any order.
    pub replicas: Vec<BackendId>,
}

/// Limits and routing settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Connections one back-end server accepts (the brief: 65 to 110).
    pub connections_per_server: u32,
    /// Requests one back-end server runs at the same time (the brief: 3 to 5).
    pub slots_per_server: u32,
    /// Hedges and retries allowed, in thousandths of the sub-requests that queries need.
    pub extra_load_per_mille: u32,
    /// The quantile of observed latency after which a hedge may be sent, in thousandths.
    pub hedge_quantile_per_mille: u32,
    /// Time over which a new back end's share grows to full, in milliseconds.
    pub slow_start_ms: u64,
    /// The share of a service's back ends that suspicion alone may remove, in thousandths.
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

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigurationChange {
    /// Replaces the schema and all services; the document's own `version` is ignored.
    ReplaceAll {
        /// The new document.
        configuration: Configuration,
    },
    /// Adds or replaces one service.
    SetService {
        /// The service.
        service: ServiceName,
        /// Its configuration.
        configuration: ServiceConfiguration,
    },
    /// Publishes a new index snapshot of one service.
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

/// An operator's command: compare-and-set on the configuration's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyCommand {
    /// Names the command; a resend with the same one gets the first outcome.
    pub command_id: CommandId,
    /// Who sends it.
    pub operator: OperatorId,
    /// Why, in the operator's words.
    #[serde(default)]
    pub reason: String,
    /// The version that the change was made against.
    pub expected_version: u64,
    /// The change.
    pub change: ConfigurationChange,
}

/// A command that won a version; kept in the bounded history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRecord {
    /// The version that the command made.
    pub version: u64,
    /// The command.
    pub command_id: CommandId,
    /// Who sent it.
    pub operator: OperatorId,
    /// Why.
    pub reason: String,
    /// When the leader proposed it, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// Accepted: committed by a quorum and synced.
    Accepted {
        /// The version that the command made.
        version: u64,
    },
    /// Another command took the version first.
    Conflict {
        /// The version in force.
        current_version: u64,
        /// The command that made the version after the expected one, where still known.
        winner: Option<CommandRecord>,
    },
    /// The change is not valid; nothing was proposed or applied.
    Invalid {
        /// Every reason.
        reasons: Vec<String>,
    },
}
