//! Tenants for tests.

use sablehaven_types::{AllowedRegions, KeyDigest, Tenant};

/// A tenant with these keys and the most urgent priority.
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
