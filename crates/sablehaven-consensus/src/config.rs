//! Configuration of a replica.

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

const MEBIBYTE: u64 = 1024 * 1024;

/// The configuration of a replica. Durations are in ticks, that is, calls of
/// [`crate::Replica::tick`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Ticks without a message from a leader after which a replica may vote for a new one. The
    /// replica itself starts an election after a random time of one to two times this value.
    pub election_timeout_ticks: u32,
    /// The election timeout of a replica that has just started and has not heard from a leader yet.
    /// It is shorter so that a group whose replicas were all stopped soon has a leader again. It
    /// cannot depose a leader, because voters that are in contact with one ignore vote requests.
    pub first_election_timeout_ticks: u32,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Maximum total size of the entries in one append message, in bytes. A single larger entry is
    /// still sent.
    pub max_append_bytes: u64,
    /// Maximum number of unacknowledged append messages per follower.
    pub max_inflight_appends: usize,
    /// Maximum total size of unacknowledged entries per follower, in bytes. One message is always
    /// allowed.
    pub max_inflight_bytes: u64,
    /// Maximum total size of the entries in one [`crate::Ready::committed`], in bytes. A single
    /// larger entry is still delivered.
    pub max_committed_bytes: u64,
    /// Maximum size of the snapshot data in one message, in bytes.
    pub snapshot_chunk_bytes: u64,
    /// Number of entries before a snapshot that stay in memory, for followers that lag slightly.
    pub retained_entries: u64,
    /// Maximum number of entries by which a learner may lag behind the commit index to be promoted.
    pub promote_lag_entries: u64,
    /// Seed of the random part of the election timeout. It is combined with the replica's
    /// identifier.
    pub election_seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            election_timeout_ticks: 10,
            first_election_timeout_ticks: 10,
            heartbeat_ticks: 2,
            max_append_bytes: MEBIBYTE,
            max_inflight_appends: 64,
            max_inflight_bytes: 8 * MEBIBYTE,
            max_committed_bytes: 8 * MEBIBYTE,
            snapshot_chunk_bytes: MEBIBYTE,
            retained_entries: 4096,
            promote_lag_entries: 256,
            election_seed: 0,
        }
    }
}

impl Config {
    /// Returns an error for every invalid setting. `prefix` is put before each key.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut errors = Vec::new();
        let mut require = |allowed: bool, key: &str, value: u64, range: &str| {
            if !allowed {
                let key = format!("{prefix}{key}");
                errors.push(SettingError::new(&key, value, range));
            }
        };
        let election = u64::from(self.election_timeout_ticks);
        let first = u64::from(self.first_election_timeout_ticks);
        require(
            (1..=election).contains(&first),
            "first_election_timeout_ticks",
            first,
            "1 to election_timeout_ticks",
        );
        let heartbeat = u64::from(self.heartbeat_ticks);
        require(heartbeat >= 1, "heartbeat_ticks", heartbeat, "1 or more");
        require(
            election > 2 * heartbeat,
            "election_timeout_ticks",
            election,
            "more than twice heartbeat_ticks",
        );
        for (key, value) in [
            ("max_append_bytes", self.max_append_bytes),
            ("max_inflight_appends", self.max_inflight_appends as u64),
            ("max_inflight_bytes", self.max_inflight_bytes),
            ("max_committed_bytes", self.max_committed_bytes),
            ("snapshot_chunk_bytes", self.snapshot_chunk_bytes),
        ] {
            require(value >= 1, key, value, "1 or more");
        }
        errors
    }
}
