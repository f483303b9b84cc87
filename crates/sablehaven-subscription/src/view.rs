//! The state in the form in which an agent's request path reads it.

use std::{collections::BTreeMap, sync::Arc};

use sablehaven_types::{BackendRecord, SchemaSource, ServiceConfiguration, ServiceName};

/// The state in force at this agent, limited to the services that it is interested in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The revision, or 0 before the first update. It never decreases.
    pub revision: u64,
    /// The configuration version. It never decreases.
    pub configuration_version: u64,
    /// The schema, if there is one.
    pub schema: Option<Arc<SchemaSource>>,
    /// The configuration of each service.
    pub services: BTreeMap<ServiceName, Arc<ServiceConfiguration>>,
    /// The back ends of each service, in ascending order of their ids. A back end that an agent has
    /// reported as draining has the state `Leaving`.
    pub backends: BTreeMap<ServiceName, Vec<Arc<BackendRecord>>>,
    /// The number of agents that watch each service, rounded up to a power of two.
    pub agents_per_service: BTreeMap<ServiceName, u32>,
}
