//! The typed envelope of every response to a caller.

use serde::{Deserialize, Serialize};

use crate::Coverage;

/// Identifies an index snapshot: one index generation with one partition map.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SnapshotId {
    /// The generation of the index.
    pub generation: u64,
    /// The version of the partition map.
    pub partition_map: u64,
}

impl std::fmt::Display for SnapshotId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.generation, self.partition_map)
    }
}

impl std::str::FromStr for SnapshotId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (generation, partition_map) = text.split_once('.').unwrap_or((text, ""));
        Ok(Self {
            generation: generation.parse()?,
            partition_map: partition_map.parse()?,
        })
    }
}

/// The outcome of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, and the body holds its reply.
    Done,
    /// The request did not run on any back end and will not run later.
    NotRun,
    /// Whether the request ran is unknown.
    Unknown,
}

/// The version and age of the configuration that was used for a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationAge {
    /// The version of the configuration.
    pub version: u64,
    /// Whether the agent held a lease, which guarantees that the version was the current one.
    pub current: bool,
    /// The time since the version was last confirmed to be current, in milliseconds.
    pub age_ms: u64,
}

/// A response to a caller, which wraps the method's reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<Body> {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The reason, if the outcome is not `Done`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// The snapshot that the query pinned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub snapshot: Option<SnapshotId>,
    /// The shards that the response covers (queries only).
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub coverage: Option<Coverage>,
    /// The configuration that was used for the response.
    pub configuration: ConfigurationAge,
    /// The delay after which to retry, in milliseconds, if a retry is useful.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// The method's reply, if there is one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub body: Option<Body>,
}
