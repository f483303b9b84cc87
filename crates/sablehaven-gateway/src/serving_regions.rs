//! The regions in which a request may be served: those that both its route and its tenant allow.

use std::{collections::BTreeSet, rc::Rc};

use sablehaven_types::{AllowedRegions, RegionName};

/// The regions in which a request may be served. Cheap to clone.
///
/// An empty [`AllowedRegions`] means every region. This type distinguishes "every region" from "no region",
/// which is the result if a route and a tenant have no allowed region in common.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServingRegions {
    /// The allowed regions; `None` means every region.
    named: Option<Rc<BTreeSet<RegionName>>>,
}

impl ServingRegions {
    pub(crate) fn new(allowed: &AllowedRegions) -> Self {
        let named = || Rc::new(allowed.iter().cloned().collect());
        Self {
            named: (!allowed.is_unrestricted()).then(named),
        }
    }

    /// The regions that are both in this set and allowed by a tenant.
    pub(crate) fn intersect(&self, allowed: &AllowedRegions) -> Self {
        if allowed.is_unrestricted() {
            return self.clone();
        }
        let Some(named) = &self.named else {
            return Self::new(allowed);
        };
        let common = named.iter().filter(|region| allowed.admit(Some(region)));
        Self {
            named: Some(Rc::new(common.cloned().collect())),
        }
    }

    /// Whether a region may serve the request. `None` is a server whose region is unknown; it may serve the
    /// request only if every region may.
    pub(crate) fn admit(&self, region: Option<&RegionName>) -> bool {
        match &self.named {
            None => true,
            Some(named) => region.is_some_and(|region| named.contains(region)),
        }
    }
}

#[cfg(test)]
mod tests;
