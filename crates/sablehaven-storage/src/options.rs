//! Settings of storage.

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

/// The smallest segment size that is allowed, in bytes.
const MINIMUM_SEGMENT_BYTES: u64 = 4 * 1024;
/// The largest segment size that is allowed, in bytes.
pub(crate) const MAXIMUM_SEGMENT_BYTES: u64 = 256 * 1024 * 1024;

/// Settings of storage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The deployment's name; a folder that belongs to another deployment is refused.
    pub deployment: String,
    /// A segment that has reached this size, in bytes, is closed and the next one begun.
    pub segment_bytes: u64,
    /// How many closed segments may stay before [`crate::Storage::groups_to_compact`] names the
    /// groups that keep the oldest one.
    pub closed_segments: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployment: String::new(),
            segment_bytes: 64 * 1024 * 1024,
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
        errors
    }
}
