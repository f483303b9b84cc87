//! Tenants: the callers whose keys are honoured, how urgent they are, and how much they may ask for.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{AllowedRegions, TenantName};

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name; servers are told it.
    pub name: TenantName,
    /// The keys that its callers may present; without any, none of its requests is taken.
    pub keys: Vec<KeyDigest>,
    /// The rank under pressure, looked at before that of the route; 0 is served first.
    pub priority: u32,
    /// Where its requests may be served, within what the route allows.
    pub allowed_regions: AllowedRegions,
    /// How many requests it may send; `None` for any number.
    pub quota: Option<RequestQuota>,
}

/// How many requests a tenant may send, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestQuota {
    /// Requests a second.
    pub per_second: f64,
    /// Requests above that, at once.
    pub burst: f64,
}

impl RequestQuota {
    /// Whether both figures are finite, the rate is above 0 and the burst is not below it.
    pub fn is_valid(&self) -> bool {
        let is_positive = self.per_second.is_finite() && self.per_second > 0.0;
        is_positive && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// A key as it is held and compared: the first half of its SHA-256 digest.
///
/// Nobody who reads a gateway's or replica's state can present it, and the time of a look-up by digest says nothing
/// of a key that would be found.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u64; 2]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let half = |from: usize| {
            let bytes = digest[from..from + 8].iter();
            bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        Self([half(0), half(8)])
    }

    /// Whether this is the digest of a key without any characters.
    pub fn is_of_empty_key(&self) -> bool {
        *self == Self::of(b"")
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
