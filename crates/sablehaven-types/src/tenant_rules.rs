//! Validation of the tenants of a route document.

use std::collections::{BTreeMap, BTreeSet};

use crate::{KeyDigest, RouteError, Tenant, TenantName};

/// Validates the tenants of a document.
///
/// # Errors
/// Returns why the first invalid tenant is invalid. Errors never contain a key.
pub(crate) fn validate_tenants(tenants: &[Tenant]) -> Result<(), RouteError> {
    let mut names: BTreeSet<&TenantName> = BTreeSet::new();
    let mut owners: BTreeMap<KeyDigest, &TenantName> = BTreeMap::new();
    for tenant in tenants {
        tenant.validate()?;
        let name = || tenant.name.clone();
        if !names.insert(&tenant.name) {
            return Err(RouteError::DuplicateTenant { tenant: name() });
        }
        for key in &tenant.keys {
            // Listing a key twice for the same tenant has no effect and is allowed.
            let owner = *owners.entry(*key).or_insert(&tenant.name);
            if owner != &tenant.name {
                return Err(RouteError::DuplicateKey { tenant: name() });
            }
        }
    }
    Ok(())
}

impl Tenant {
    fn validate(&self) -> Result<(), RouteError> {
        let name = self.name.as_str();
        // The name is sent to servers in a header.
        if name.is_empty() || name.chars().any(char::is_control) {
            let tenant = name.escape_debug().to_string().into();
            return Err(RouteError::InvalidTenantName { tenant });
        }
        let tenant = || self.name.clone();
        if self.keys.iter().any(KeyDigest::is_of_empty_key) {
            return Err(RouteError::EmptyKey { tenant: tenant() });
        }
        if self.quota.is_some_and(|quota| !quota.is_valid()) {
            return Err(RouteError::InvalidQuota { tenant: tenant() });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
