//! Where a request may be served: where both its route and its tenant allow.

use std::{collections::BTreeSet, rc::Rc};

use sablehaven_types::{AllowedRegions, RegionName};

/// The regions in which a request may be served; cheap to clone.
///
/// An empty [`AllowedRegions`] stands for every region. This keeps "every region" apart from "no region", which is
/// what a route and a tenant that have no region in common leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServingRegions {
    /// `None` for every region.
    named: Option<Rc<BTreeSet<RegionName>>>,
}

impl ServingRegions {
    pub(crate) fn new(allowed: &AllowedRegions) -> Self {
        let named = || Rc::new(allowed.iter().cloned().collect());
        Self {
            named: (!allowed.is_unrestricted()).then(named),
        }
    }

    /// Where this and what a tenant allows agree.
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

    /// Whether a region may serve the request. `None` stands for a place whose region is not known: it may only where
    /// every region may.
    pub(crate) fn admit(&self, region: Option<&RegionName>) -> bool {
        match &self.named {
            None => true,
            Some(named) => region.is_some_and(|region| named.contains(region)),
        }
    }
}

#[cfg(test)]
mod tests;
