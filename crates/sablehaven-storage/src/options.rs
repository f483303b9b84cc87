//! Storage settings.

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

/// The smallest allowed value of [`Options::segment_bytes`].
const MIN_SEGMENT_BYTES: u64 = 4 * 1024;
/// The largest allowed value of [`Options::segment_bytes`].
pub(crate) const MAX_SEGMENT_BYTES: u64 = 256 * 1024 * 1024;

/// The largest allowed value of [`Options::allocation_bytes`].
const MAX_ALLOCATION_BYTES: u64 = 16 * 1024 * 1024;

/// Storage settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The deployment's name. A folder that belongs to another deployment is refused.
    pub deployment: String,
    /// The maximum size of a segment in bytes. A record that would exceed it goes to a new segment,
    /// unless it is the first record of its segment.
    pub segment_bytes: u64,
    /// How many bytes of zeros are allocated after a record that extends the segment's file; with 0
    /// the file grows by each record alone. To sync a record in allocated space costs about half as
    /// much as to sync one that extends the file (measured in `docs/design/storage.md`).
    pub allocation_bytes: u64,
    /// The number of closed segments above which [`crate::Storage::groups_to_compact`] returns the
    /// groups that prevent the removal of the oldest segment.
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
    /// Returns an error for each invalid setting, with its key under `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut errors = Vec::new();
        if self.deployment.is_empty() {
            let key = format!("{prefix}.deployment");
            errors.push(SettingError::new(&key, "empty", "a name"));
        }
        if !(MIN_SEGMENT_BYTES..=MAX_SEGMENT_BYTES).contains(&self.segment_bytes) {
            let key = format!("{prefix}.segment_bytes");
            let allowed = format!("{MIN_SEGMENT_BYTES} to {MAX_SEGMENT_BYTES}");
            errors.push(SettingError::new(&key, self.segment_bytes, &allowed));
        }
        if self.allocation_bytes > MAX_ALLOCATION_BYTES {
            let key = format!("{prefix}.allocation_bytes");
            let allowed = format!("0 to {MAX_ALLOCATION_BYTES}");
            errors.push(SettingError::new(&key, self.allocation_bytes, &allowed));
        }
        errors
    }
}
