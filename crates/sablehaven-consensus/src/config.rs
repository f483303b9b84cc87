//! Settings of one replica.

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

const MEBIBYTE: u64 = 1024 * 1024;

/// Settings of one replica; durations count in calls of [`crate::Replica::tick`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Ticks without a leader's message after which a replica may vote for another one; it stands
    /// for election itself after a random time of one to two times this.
    pub election_timeout_ticks: u32,
    /// The same for a replica that has just started and has heard no leader yet. Shorter, so that a
    /// group whose replicas were all stopped leads again soon: nobody can be deposed by it, since
    /// voters that hear a leader do not listen.
    pub first_election_timeout_ticks: u32,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Entries' bytes in one append message; a single larger entry is still sent.
    pub max_append_bytes: u64,
    /// Append messages on their way to one follower.
    pub max_inflight_appends: usize,
    /// Entries' bytes on their way to one follower; one message is always allowed.
    pub max_inflight_bytes: u64,
    /// Entries' bytes in one [`crate::Ready::committed`]; a single larger entry is still handed out.
    pub max_committed_bytes: u64,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: u64,
    /// Entries kept in memory before a snapshot, for followers that are a little behind.
    pub retained_entries: u64,
    /// Entries by which a learner may lag behind the commit index when it is promoted.
    pub promote_lag_entries: u64,
    /// Seed of the random part of the election timeout; mixed with the replica's identifier.
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
    /// Every setting that cannot be used; `prefix` is put before each key.
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
