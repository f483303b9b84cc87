//! The services that an agent wants to hear of.

use std::{collections::BTreeSet, sync::Arc};

use sablehaven_types::ServiceName;

/// A set of services; empty means all. Equal sets share their encoded updates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Interest(Arc<BTreeSet<ServiceName>>);

impl Interest {
    /// An interest in the given services; all, if there are none.
    pub fn new(services: BTreeSet<ServiceName>) -> Self {
        Self(Arc::new(services))
    }

    /// Whether the service is part of it.
    pub fn includes(&self, service: &ServiceName) -> bool {
        self.0.is_empty() || self.0.contains(service)
    }

    /// The services; empty means all.
    pub fn services(&self) -> &BTreeSet<ServiceName> {
        &self.0
    }
}
