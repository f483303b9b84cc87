//! Tenants of tests.

use sablehaven_types::{AllowedRegions, KeyDigest, Tenant};

/// A tenant with these keys, of the most urgent rank.
pub fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter();
    Tenant {
        name: name.into(),
        keys: keys.map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    }
}
