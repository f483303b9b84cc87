//! The plan that requests are served by: schema, services, routers and connections.
//!
//! A plan is built off the request path from each new view of the shared state, and put in force by
//! one atomic swap. A request loads the plan once and keeps it to its end, so it never sees half of
//! a change; routers and connections live on from plan to plan with what they have learned.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use sablehaven_routing::{AgentLocation, ServiceUpdate};
use sablehaven_schema::{DeploymentSchema, MethodSchema, SchemaProblem};
use sablehaven_subscription::View;
use sablehaven_types::{ConfigurationAge, SchemaSource, ServiceConfiguration, ServiceName};

use crate::{
    routing::{Observer, PolicyFactory, SharedRouter},
    transport::{BackendClient, BackendConnections, ConnectionSettings},
};

/// What requests are served by, at one revision of the shared state.
#[derive(Clone, Debug, Default)]
pub struct AgentPlan {
    /// The revision of the shared state that the plan was built from (0 for none).
    pub revision: u64,
    /// The version of the configuration in it.
    pub configuration_version: u64,
    /// When the plan was built; `None` for the empty plan of the start.
    pub built_at: Option<Instant>,
    /// The schema; `None` until the first configuration has come.
    pub schema: Option<Arc<DeploymentSchema>>,
    /// The services that the agent serves.
    pub services: BTreeMap<ServiceName, Arc<ServicePlan>>,
}

/// One service: its router, which holds the snapshot to pin, and its connections.
#[derive(Debug)]
pub struct ServicePlan {
    /// The decisions.
    pub router: Arc<SharedRouter>,
    /// The connections.
    pub connections: Arc<BackendConnections>,
}

impl AgentPlan {
    /// What an answer made under this plan may say of its configuration, given the lease on the
    /// state that the agent has. The two differ for a moment after a change; the plan then counts
    /// as not proved since it was built, which errs to the older side.
    pub fn age(&self, lease: ConfigurationAge) -> ConfigurationAge {
        if lease.version == self.configuration_version {
            return lease;
        }
        let built = self.built_at.map(|built_at| built_at.elapsed().as_millis());
        let since_built = built.and_then(|age| u64::try_from(age).ok());
        ConfigurationAge {
            version: self.configuration_version,
            current: false,
            age_ms: since_built.map_or(u64::MAX, |age| age.max(lease.age_ms)),
        }
    }

    /// The method at an HTTP path, with its service.
    pub fn method(&self, path: &str) -> Option<(&MethodSchema, &Arc<ServicePlan>)> {
        let method = self.schema.as_ref()?.method_at(path)?;
        let service = self.services.get(&method.service)?;
        Some((method, service))
    }
}

/// Builds plans, one from the other.
pub struct PlanBuilder {
    site: AgentLocation,
    connections: ConnectionSettings,
    policies: PolicyFactory,
    observer: Observer,
    source: Option<Arc<SchemaSource>>,
    plan: AgentPlan,
}

/// What one build gives.
pub struct BuiltPlan {
    /// The plan to put in force.
    pub plan: AgentPlan,
    /// Connections to open ahead of the first attempt.
    pub to_warm: Vec<Arc<BackendClient>>,
    /// Why the schema could not be taken; the plan keeps the one before.
    pub problems: Vec<SchemaProblem>,
}

impl PlanBuilder {
    /// A builder that has built nothing yet.
    pub fn new(
        site: AgentLocation,
        connections: ConnectionSettings,
        policies: PolicyFactory,
        observer: Observer,
    ) -> Self {
        Self {
            site,
            connections,
            policies,
            observer,
            source: None,
            plan: AgentPlan::default(),
        }
    }

    /// Builds the plan of a view. Parsing a changed schema takes milliseconds, so this must not run
    /// on a thread that serves requests.
    pub fn build(&mut self, view: &View) -> BuiltPlan {
        let problems = self.take_schema(view).err().unwrap_or_default();
        self.plan
            .services
            .retain(|name, _| view.services.contains_key(name));
        let mut to_warm = Vec::new();
        for (name, configuration) in &view.services {
            to_warm.extend(self.take_service(view, name, configuration));
        }
        self.plan.revision = view.revision;
        self.plan.configuration_version = view.configuration_version;
        self.plan.built_at = Some(Instant::now());
        BuiltPlan {
            plan: self.plan.clone(),
            to_warm,
            problems,
        }
    }

    fn take_schema(&mut self, view: &View) -> Result<(), Vec<SchemaProblem>> {
        if view.schema == self.source {
            return Ok(());
        }
        let Some(source) = &view.schema else {
            return Ok(());
        };
        // Remembered even if it does not parse, so that it is not tried again on each view.
        self.source = Some(Arc::clone(source));
        let schema = DeploymentSchema::parse(&source.file_name, &source.text)?;
        self.plan.schema = Some(Arc::new(schema));
        Ok(())
    }

    fn take_service(
        &mut self,
        view: &View,
        name: &ServiceName,
        configuration: &ServiceConfiguration,
    ) -> Vec<Arc<BackendClient>> {
        let service = self.service(name, configuration);
        let backends = view.backends.get(name).map_or(&[][..], Vec::as_slice);
        service.router.update(ServiceUpdate {
            settings: &configuration.routing,
            backends,
            snapshot: &configuration.snapshot,
            agents: view.agents_per_service.get(name).copied().unwrap_or(1),
        });
        let wanted = service.router.lock().policy.connections();
        let wanted: Vec<_> = backends
            .iter()
            .filter(|record| wanted.binary_search(&record.id).is_ok())
            .map(|record| (record.id.clone(), record.address))
            .collect();
        service.connections.keep(&wanted)
    }

    fn service(
        &mut self,
        name: &ServiceName,
        configuration: &ServiceConfiguration,
    ) -> Arc<ServicePlan> {
        if let Some(service) = self.plan.services.get(name) {
            return Arc::clone(service);
        }
        let policy = (self.policies)(name, self.site.clone(), &configuration.routing);
        let router = SharedRouter::new(policy, Arc::clone(&self.observer));
        let service = Arc::new(ServicePlan {
            router: Arc::new(router),
            connections: Arc::new(BackendConnections::new(self.connections)),
        });
        let services = &mut self.plan.services;
        services.insert(name.clone(), Arc::clone(&service));
        service
    }
}
