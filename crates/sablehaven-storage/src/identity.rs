//! Who a data folder belongs to.

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

/// The version of every file format in the data folder.
pub const FORMAT_VERSION: u32 = 1;

/// Made once, when a data folder is formatted; never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The replica, a random number: a lost or emptied disk comes back as another replica.
    pub replica: ReplicaId,
    /// The deployment's name.
    pub deployment: String,
    /// The version of the folder's formats.
    pub format_version: u32,
}
