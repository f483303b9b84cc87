//! Settings of storage.

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

/// The smallest segment size that is allowed, in bytes.
const MINIMUM_SEGMENT_BYTES: u64 = 4 * 1024;
/// The largest segment size that is allowed, in bytes.
pub(crate) const MAXIMUM_SEGMENT_BYTES: u64 = 256 * 1024 * 1024;

/// The largest step that is allowed by which the log's file grows, in bytes.
const MAXIMUM_ALLOCATION_BYTES: u64 = 16 * 1024 * 1024;

/// Settings of storage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The deployment's name; a folder that belongs to another deployment is refused.
    pub deployment: String,
    /// A segment that has reached this size, in bytes, is closed and the next one begun.
    pub segment_bytes: u64,
    /// The log's file grows by this many bytes of zeros at a time, or by each record alone if it is
    /// 0. Syncing a record in space that exists costs about half of syncing one that makes the file
    /// longer (`docs/design/storage.md` has the measurement).
    pub allocation_bytes: u64,
    /// How many closed segments may stay before [`crate::Storage::groups_to_compact`] names the
    /// groups that keep the oldest one.
    pub closed_segments: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployment: String::new(),
            segment_bytes: 64 * 1024 * 1024,
            allocation_bytes: 1024 * 1024,
            closed_segments: 4,
        }
    }
}

impl Options {
    /// The settings that cannot be used, with their keys under `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut errors = Vec::new();
        if self.deployment.is_empty() {
            let key = format!("{prefix}.deployment");
            errors.push(SettingError::new(&key, "empty", "a name"));
        }
        if !(MINIMUM_SEGMENT_BYTES..=MAXIMUM_SEGMENT_BYTES).contains(&self.segment_bytes) {
            let key = format!("{prefix}.segment_bytes");
            let allowed = format!("{MINIMUM_SEGMENT_BYTES} to {MAXIMUM_SEGMENT_BYTES}");
            errors.push(SettingError::new(&key, self.segment_bytes, &allowed));
        }
        if self.allocation_bytes > MAXIMUM_ALLOCATION_BYTES {
            let key = format!("{prefix}.allocation_bytes");
            let allowed = format!("0 to {MAXIMUM_ALLOCATION_BYTES}");
            errors.push(SettingError::new(&key, self.allocation_bytes, &allowed));
        }
        errors
    }
}
