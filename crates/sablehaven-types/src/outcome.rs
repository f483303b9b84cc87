//! The typed envelope around every answer to a caller.

use serde::{Deserialize, Serialize};

use crate::Coverage;

/// One index generation with one partition map.
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

/// What became of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and the body is its answer.
    Done,
    /// It did not run, on any back end, and will not run later.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
}

/// The state of the configuration under which an answer was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationAge {
    /// The configuration's version.
    pub version: u64,
    /// Whether the agent held a lease, so that the version was in force.
    pub current: bool,
    /// Time since the version was last proved to be current, in milliseconds.
    pub age_ms: u64,
}

/// The answer to a caller, around the method's own reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<Body> {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why, where the outcome is not `Done`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// The snapshot that the query pinned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub snapshot: Option<SnapshotId>,
    /// The shards that the answer covers (queries only).
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub coverage: Option<Coverage>,
    /// The configuration under which the answer was made.
    pub configuration: ConfigurationAge,
    /// When to come back, in milliseconds, where that is of use.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// The method's own reply, where there is one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub body: Option<Body>,
}
