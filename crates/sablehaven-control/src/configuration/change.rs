//! Applies a change to a configuration, and compares two configurations.

use std::collections::BTreeSet;

use sablehaven_types::{
    Configuration, ConfigurationChange, IndexSnapshot, RoutingSettings, ServiceConfiguration,
    ServiceName,
};

use super::ConfigurationDifference;

/// Returns the configuration after a change, with the next version, or every reason why the change is invalid.
pub(super) fn apply(
    current: &Configuration,
    change: &ConfigurationChange,
) -> Result<Configuration, Vec<String>> {
    let mut next = match change {
        ConfigurationChange::ReplaceAll { configuration } => configuration.clone(),
        ConfigurationChange::SetService {
            service,
            configuration,
        } => set_service(current, service, configuration),
        ConfigurationChange::PublishSnapshot { service, snapshot } => {
            publish_snapshot(current, service, snapshot)?
        }
        ConfigurationChange::SetRouting { service, routing } => {
            set_routing(current, service, routing)?
        }
        ConfigurationChange::RemoveService { service } => remove_service(current, service)?,
    };
    next.version = current.version + 1;
    let reasons = reused_snapshot_ids(current, &next);
    if reasons.is_empty() {
        Ok(next)
    } else {
        Err(reasons)
    }
}

fn set_service(
    current: &Configuration,
    service: &ServiceName,
    configuration: &ServiceConfiguration,
) -> Configuration {
    let mut next = current.clone();
    next.services.insert(service.clone(), configuration.clone());
    next
}

fn publish_snapshot(
    current: &Configuration,
    service: &ServiceName,
    snapshot: &IndexSnapshot,
) -> Result<Configuration, Vec<String>> {
    let mut next = current.clone();
    service_mut(&mut next, service)?.snapshot = snapshot.clone();
    Ok(next)
}

fn set_routing(
    current: &Configuration,
    service: &ServiceName,
    routing: &RoutingSettings,
) -> Result<Configuration, Vec<String>> {
    let mut next = current.clone();
    service_mut(&mut next, service)?.routing = routing.clone();
    Ok(next)
}

fn remove_service(
    current: &Configuration,
    service: &ServiceName,
) -> Result<Configuration, Vec<String>> {
    let mut next = current.clone();
    service_mut(&mut next, service)?;
    next.services.remove(service);
    Ok(next)
}

/// Returns a service's configuration, or the reason that the service does not exist.
fn service_mut<'a>(
    configuration: &'a mut Configuration,
    service: &ServiceName,
) -> Result<&'a mut ServiceConfiguration, Vec<String>> {
    let found = configuration.services.get_mut(service);
    found.ok_or_else(|| vec![format!("service '{service}' is not in the configuration")])
}

/// Returns a reason for each service whose partition map changes while its snapshot keeps its id. Queries identify a
/// partition map by the snapshot's id, so two maps under one id could be mixed in one query.
fn reused_snapshot_ids(current: &Configuration, next: &Configuration) -> Vec<String> {
    let mut reasons = Vec::new();
    for (service, after) in &next.services {
        let Some(before) = current.services.get(service) else {
            continue;
        };
        let same_id = before.snapshot.id == after.snapshot.id;
        if same_id && before.snapshot.shards != after.snapshot.shards {
            reasons.push(format!(
                "service '{service}': snapshot {} is in force with another partition map; \
                 a changed map needs a new id",
                after.snapshot.id
            ));
        }
    }
    reasons
}

/// Returns the parts that differ between two configurations.
pub(super) fn difference(before: &Configuration, after: &Configuration) -> ConfigurationDifference {
    let names: BTreeSet<&ServiceName> = before
        .services
        .keys()
        .chain(after.services.keys())
        .collect();
    let services = names
        .into_iter()
        .filter(|name| before.services.get(*name) != after.services.get(*name))
        .cloned()
        .collect();
    ConfigurationDifference {
        schema: before.schema != after.schema,
        services,
    }
}
