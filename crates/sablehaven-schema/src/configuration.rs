//! Validates a configuration document against the schema.

use std::collections::BTreeSet;

use sablehaven_types::{
    Configuration, IndexSnapshot, RoutingSettings, ServiceConfiguration, ServiceName, ShardId,
    SnapshotId,
};

use crate::{
    compatibility::check_change,
    schema::{DeploymentSchema, ServiceSchema},
};

/// Thousandths in a whole; the maximum of a share in thousandths.
const PER_MILLE: u32 = 1_000;

/// Validates a configuration document: first the schema that it contains, then the services against
/// that schema.
///
/// Returns every problem as a message for the operator. An empty list means that the document may be
/// applied.
pub fn check_document(configuration: &Configuration) -> Vec<String> {
    match DeploymentSchema::from_source(&configuration.schema) {
        Ok(schema) => schema.check_configuration(configuration),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

/// Validates a configuration document that replaces another.
///
/// Besides the checks of [`check_document`], a new schema must not break a method of a service that is
/// configured both before and after the replacement. To deploy a breaking change, remove the service
/// first; its callers then get the outcome "not run".
pub fn check_replacement(old: &Configuration, new: &Configuration) -> Vec<String> {
    let new_schema = match DeploymentSchema::from_source(&new.schema) {
        Ok(schema) => schema,
        Err(problems) => return problems.iter().map(ToString::to_string).collect(),
    };
    let mut problems = new_schema.check_configuration(new);
    if old.schema.text == new.schema.text {
        return problems;
    }
    // A schema in force was valid when it was applied. Only the empty schema before the first
    // configuration does not parse; it has nothing that a change could break.
    if let Ok(old_schema) = DeploymentSchema::from_source(&old.schema) {
        let old_names = old.services.keys();
        let in_use = old_names.filter(|name| new.services.contains_key(*name));
        let changes = check_change(&old_schema, &new_schema, &in_use.cloned().collect());
        problems.extend(changes.iter().map(ToString::to_string));
    }
    problems
}

impl DeploymentSchema {
    /// Validates a configuration document against this schema and returns every problem as a message
    /// for the operator.
    ///
    /// A service that is in the schema but not configured is valid: it accepts no calls yet.
    pub fn check_configuration(&self, configuration: &Configuration) -> Vec<String> {
        configuration
            .services
            .iter()
            .flat_map(|(name, service)| self.check_service(name, service))
            .collect()
    }

    /// Validates the configuration of one service against this schema.
    pub fn check_service(&self, name: &ServiceName, service: &ServiceConfiguration) -> Vec<String> {
        let mut problems = self.check_snapshot(name, &service.snapshot);
        problems.extend(check_routing(name, &service.routing));
        problems
    }

    /// Validates the snapshot of one service against this schema.
    pub fn check_snapshot(&self, name: &ServiceName, snapshot: &IndexSnapshot) -> Vec<String> {
        let Some(service) = self.service(name) else {
            return vec![format!("service '{name}' is not in the schema")];
        };
        let mut problems = check_snapshot_id(name, snapshot.id);
        problems.extend(check_shard_numbers(service, snapshot));
        problems.extend(check_replicas(service, snapshot));
        problems
    }
}

fn check_snapshot_id(name: &ServiceName, id: SnapshotId) -> Vec<String> {
    if id.generation > 0 && id.partition_map > 0 {
        return Vec::new();
    }
    vec![format!(
        "service '{name}': snapshot {id} has a 0, but both of its numbers start at 1"
    )]
}

fn check_shard_numbers(service: &ServiceSchema, snapshot: &IndexSnapshot) -> Vec<String> {
    let name = &service.name;
    let mut problems = Vec::new();
    if snapshot.shards.is_empty() {
        problems.push(format!("service '{name}': the partition map has no shards"));
    }
    let count = snapshot.shards.len();
    if count > usize::try_from(service.maximum_shards).unwrap_or(usize::MAX) {
        problems.push(format!(
            "service '{name}': the partition map has {count} shards, the schema allows {}",
            service.maximum_shards
        ));
    }
    let misplaced = (0..)
        .map(ShardId)
        .zip(&snapshot.shards)
        .find(|(expected, found)| *expected != found.shard);
    if let Some((expected, found)) = misplaced {
        problems.push(format!(
            "service '{name}': the partition map lists shard {} where shard {expected} belongs",
            found.shard
        ));
    }
    problems
}

fn check_replicas(service: &ServiceSchema, snapshot: &IndexSnapshot) -> Vec<String> {
    let name = &service.name;
    let mut problems = Vec::new();
    for assignment in &snapshot.shards {
        let shard = assignment.shard;
        let distinct: BTreeSet<_> = assignment.replicas.iter().collect();
        if distinct.len() < assignment.replicas.len() {
            problems.push(format!(
                "service '{name}': shard {shard} names a replica twice"
            ));
        }
        if distinct.iter().any(|replica| replica.as_str().is_empty()) {
            problems.push(format!(
                "service '{name}': shard {shard} has a replica without a name"
            ));
        }
        if distinct.len() < usize::try_from(service.minimum_replicas).unwrap_or(usize::MAX) {
            problems.push(format!(
                "service '{name}': shard {shard} has {} replicas, the schema needs {}",
                distinct.len(),
                service.minimum_replicas
            ));
        }
    }
    problems
}

fn check_routing(name: &ServiceName, routing: &RoutingSettings) -> Vec<String> {
    let mut problems = Vec::new();
    let mut check_range = |key: &str, value: u32, minimum: u32, maximum: u32| {
        if !(minimum..=maximum).contains(&value) {
            problems.push(format!(
                "service '{name}': routing.{key} is {value}, allowed is {minimum} to {maximum}"
            ));
        }
    };
    check_range(
        "connections_per_server",
        routing.connections_per_server,
        1,
        u32::MAX,
    );
    check_range("slots_per_server", routing.slots_per_server, 1, u32::MAX);
    check_range(
        "extra_load_per_mille",
        routing.extra_load_per_mille,
        0,
        PER_MILLE,
    );
    check_range(
        "hedge_quantile_per_mille",
        routing.hedge_quantile_per_mille,
        1,
        PER_MILLE - 1,
    );
    check_range(
        "suspicion_limit_per_mille",
        routing.suspicion_limit_per_mille,
        0,
        PER_MILLE,
    );
    problems
}
