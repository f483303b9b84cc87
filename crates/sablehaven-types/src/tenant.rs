//! Tenants: groups of callers with API keys, a priority and a request quota.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{AllowedRegions, TenantName};

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name, which is sent to servers with each request.
    pub name: TenantName,
    /// Digests of the API keys that the tenant's callers may present. A tenant without keys cannot send requests.
    pub keys: Vec<KeyDigest>,
    /// The priority under overload; 0 is served first. It takes precedence over the priority of the route.
    pub priority: u32,
    /// The regions in which the tenant's requests may be served, among those that the route allows.
    pub allowed_regions: AllowedRegions,
    /// The request quota; `None` for no limit.
    pub quota: Option<RequestQuota>,
}

/// The token bucket that limits a tenant's requests to all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestQuota {
    /// The rate, in requests per second.
    pub per_second: f64,
    /// The number of requests that may be sent at once in addition to the rate.
    pub burst: f64,
}

impl RequestQuota {
    /// Returns whether both values are finite, the rate is positive and the burst is not negative.
    pub fn is_valid(&self) -> bool {
        let is_rate_valid = self.per_second.is_finite() && self.per_second > 0.0;
        is_rate_valid && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// The stored form of an API key: the first half of its SHA-256 digest.
///
/// Keys are compared by digest. A reader of the state of a gateway or replica therefore cannot recover a usable key,
/// and the time that a lookup takes reveals nothing about existing keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u64; 2]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let half = |start: usize| {
            let bytes = digest[start..start + 8].iter();
            bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        Self([half(0), half(8)])
    }

    /// Returns whether this is the digest of the empty key.
    pub fn is_of_empty_key(&self) -> bool {
        *self == Self::of(b"")
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
