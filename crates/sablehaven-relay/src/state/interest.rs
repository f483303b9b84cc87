//! The set of services that an agent wants updates about.

use std::{collections::BTreeSet, sync::Arc};

use sablehaven_types::ServiceName;

/// A set of services; an empty set stands for all services. Agents with equal sets share their
/// encoded updates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Interest(Arc<BTreeSet<ServiceName>>);

impl Interest {
    /// Creates an interest in the given services, or in all services if the set is empty.
    pub fn new(services: BTreeSet<ServiceName>) -> Self {
        Self(Arc::new(services))
    }

    /// Whether the interest covers the service.
    pub fn includes(&self, service: &ServiceName) -> bool {
        self.0.is_empty() || self.0.contains(service)
    }

    /// The services; an empty set stands for all services.
    pub fn services(&self) -> &BTreeSet<ServiceName> {
        &self.0
    }
}
