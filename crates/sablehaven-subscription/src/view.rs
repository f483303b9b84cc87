//! The state as an agent's request path reads it.

use std::{collections::BTreeMap, sync::Arc};

use sablehaven_types::{BackendRecord, SchemaSource, ServiceConfiguration, ServiceName};

/// The state in force in this agent, of the services that it is interested in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The revision (0 before the first update); only grows.
    pub revision: u64,
    /// The version of the configuration; only grows.
    pub configuration_version: u64,
    /// The schema, once there is one.
    pub schema: Option<Arc<SchemaSource>>,
    /// The services.
    pub services: BTreeMap<ServiceName, Arc<ServiceConfiguration>>,
    /// The back ends of each service, ascending by id. One that another agent reported as draining
    /// is shown as leaving.
    pub backends: BTreeMap<ServiceName, Vec<Arc<BackendRecord>>>,
    /// How many agents watch each service, rounded up to a power of two.
    pub agents_per_service: BTreeMap<ServiceName, u32>,
}
