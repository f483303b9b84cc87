//! The plan used to serve requests: schema, services, routers and connections.
//!
//! A new plan is built outside the request path for each new view of the shared state, and replaces
//! the current one by an atomic swap. A request loads the plan once and uses it until it completes,
//! so it never sees a partial change. Routers and connections are carried over from plan to plan and
//! keep their state.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use sablehaven_routing::{AgentLocation, ServiceUpdate};
use sablehaven_schema::{DeploymentSchema, MethodSchema, SchemaProblem};
use sablehaven_subscription::View;
use sablehaven_types::{ConfigurationAge, SchemaSource, ServiceConfiguration, ServiceName};

use crate::{
    routing::{Observer, PolicyFactory, SharedRouter},
    transport::{BackendClient, BackendConnections, ConnectionSettings},
};

/// The schema and services used to serve requests, at one revision of the shared state.
#[derive(Clone, Debug, Default)]
pub struct AgentPlan {
    /// The revision of the shared state that the plan was built from; 0 for the initial empty plan.
    pub revision: u64,
    /// The version of the configuration in that state.
    pub configuration_version: u64,
    /// When the plan was built; `None` for the initial empty plan.
    pub built_at: Option<Instant>,
    /// The schema; `None` until the first usable configuration has been received.
    pub schema: Option<Arc<DeploymentSchema>>,
    /// The services that callers of the agent can use.
    pub services: BTreeMap<ServiceName, Arc<ServicePlan>>,
}

/// The router and the connections of one service.
#[derive(Debug)]
pub struct ServicePlan {
    /// The router, which also holds the snapshot that new requests pin.
    pub router: Arc<SharedRouter>,
    /// The connections to the back ends of the service.
    pub connections: Arc<BackendConnections>,
}

impl AgentPlan {
    /// Returns the configuration age to report in an answer produced with this plan, given the
    /// lease on the agent's state.
    ///
    /// For a short time after a change, the plan and the lease have different versions. The plan is
    /// then reported as not current, and as at least as old as its build time, which never reports
    /// the configuration as newer than it is.
    pub fn age(&self, lease: ConfigurationAge) -> ConfigurationAge {
        if lease.version == self.configuration_version {
            return lease;
        }
        let build_age_ms = self.built_at.map(|built_at| built_at.elapsed().as_millis());
        let since_build_ms = build_age_ms.and_then(|age| u64::try_from(age).ok());
        ConfigurationAge {
            version: self.configuration_version,
            current: false,
            age_ms: since_build_ms.map_or(u64::MAX, |age| age.max(lease.age_ms)),
        }
    }

    /// Returns the method at an HTTP path and the service it belongs to.
    pub fn method(&self, path: &str) -> Option<(&MethodSchema, &Arc<ServicePlan>)> {
        let method = self.schema.as_ref()?.method_at(path)?;
        let service = self.services.get(&method.service)?;
        Some((method, service))
    }
}

/// Builds plans, each based on the previous one.
pub struct PlanBuilder {
    site: AgentLocation,
    connection_settings: ConnectionSettings,
    policies: PolicyFactory,
    observer: Observer,
    schema_source: Option<Arc<SchemaSource>>,
    plan: AgentPlan,
}

/// The result of one build.
pub struct BuiltPlan {
    /// The new plan.
    pub plan: AgentPlan,
    /// Clients whose connections should be opened before the first attempt.
    pub to_preconnect: Vec<Arc<BackendClient>>,
    /// Why the new schema could not be parsed; the plan then keeps the previous one. Empty if there
    /// was no problem.
    pub schema_problems: Vec<SchemaProblem>,
}

impl PlanBuilder {
    /// Creates a builder whose previous plan is empty.
    pub fn new(
        site: AgentLocation,
        connection_settings: ConnectionSettings,
        policies: PolicyFactory,
        observer: Observer,
    ) -> Self {
        Self {
            site,
            connection_settings,
            policies,
            observer,
            schema_source: None,
            plan: AgentPlan::default(),
        }
    }

    /// Builds the plan for a view. Parsing a changed schema takes milliseconds, so this must not run
    /// on a thread that serves requests.
    pub fn build(&mut self, view: &View) -> BuiltPlan {
        let schema_problems = self.update_schema(view).err().unwrap_or_default();
        self.plan
            .services
            .retain(|name, _| view.services.contains_key(name));
        let mut to_preconnect = Vec::new();
        for (name, configuration) in &view.services {
            to_preconnect.extend(self.update_service(view, name, configuration));
        }
        self.plan.revision = view.revision;
        self.plan.configuration_version = view.configuration_version;
        self.plan.built_at = Some(Instant::now());
        BuiltPlan {
            plan: self.plan.clone(),
            to_preconnect,
            schema_problems,
        }
    }

    fn update_schema(&mut self, view: &View) -> Result<(), Vec<SchemaProblem>> {
        if view.schema == self.schema_source {
            return Ok(());
        }
        let Some(source) = &view.schema else {
            return Ok(());
        };
        // Stored even if it cannot be parsed, so that it is not parsed again for every view.
        self.schema_source = Some(Arc::clone(source));
        let schema = DeploymentSchema::parse(&source.file_name, &source.text)?;
        self.plan.schema = Some(Arc::new(schema));
        Ok(())
    }

    fn update_service(
        &mut self,
        view: &View,
        name: &ServiceName,
        configuration: &ServiceConfiguration,
    ) -> Vec<Arc<BackendClient>> {
        let service = self.service_plan(name, configuration);
        let backends = view.backends.get(name).map_or(&[][..], Vec::as_slice);
        service.router.update(ServiceUpdate {
            settings: &configuration.routing,
            backends,
            snapshot: &configuration.snapshot,
            agents: view.agents_per_service.get(name).copied().unwrap_or(1),
        });
        let required = service.router.lock().policy.connections();
        let required: Vec<_> = backends
            .iter()
            .filter(|record| required.binary_search(&record.id).is_ok())
            .map(|record| (record.id.clone(), record.address))
            .collect();
        service.connections.reconcile(&required)
    }

    fn service_plan(
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
            connections: Arc::new(BackendConnections::new(self.connection_settings)),
        });
        let services = &mut self.plan.services;
        services.insert(name.clone(), Arc::clone(&service));
        service
    }
}
