//! Checks a configuration document against the schema.

use std::collections::BTreeSet;

use sablehaven_types::{
    Configuration, IndexSnapshot, RoutingSettings, ServiceConfiguration, ServiceName, ShardId,
    SnapshotId,
};

use crate::{
    compatibility::check_change,
    schema::{DeploymentSchema, ServiceSchema},
};

/// The largest share or quantile that is given in thousandths.
const PER_MILLE: u32 = 1_000;

/// Checks a whole configuration document: its own schema, then all else against it.
///
/// Gives every problem that was found, in words for an operator; none means the document may be
/// applied.
pub fn check_document(configuration: &Configuration) -> Vec<String> {
    match DeploymentSchema::from_source(&configuration.schema) {
        Ok(schema) => schema.check_configuration(configuration),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

/// Checks a configuration document that replaces another: [`check_document`], and that a new schema
/// breaks no method of a service that is configured before and after.
///
/// To take a breaking change into use, remove the service first; callers then get "not run".
pub fn check_replacement(old: &Configuration, new: &Configuration) -> Vec<String> {
    let new_schema = match DeploymentSchema::from_source(&new.schema) {
        Ok(schema) => schema,
        Err(problems) => return problems.iter().map(ToString::to_string).collect(),
    };
    let mut problems = new_schema.check_configuration(new);
    if old.schema.text == new.schema.text {
        return problems;
    }
    // A schema in force was valid when it was applied; the empty one before the first is not.
    if let Ok(old_schema) = DeploymentSchema::from_source(&old.schema) {
        let in_use = old.services.keys();
        let in_use = in_use.filter(|name| new.services.contains_key(*name));
        let changes = check_change(&old_schema, &new_schema, &in_use.cloned().collect());
        problems.extend(changes.iter().map(ToString::to_string));
    }
    problems
}

impl DeploymentSchema {
    /// Checks a configuration document against this schema, and gives every problem in words for an
    /// operator.
    ///
    /// A service of the schema that is not configured is no problem: it takes no calls yet.
    pub fn check_configuration(&self, configuration: &Configuration) -> Vec<String> {
        configuration
            .services
            .iter()
            .flat_map(|(name, service)| self.check_service(name, service))
            .collect()
    }

    /// Checks one service's configuration against this schema.
    pub fn check_service(&self, name: &ServiceName, service: &ServiceConfiguration) -> Vec<String> {
        let mut problems = self.check_snapshot(name, &service.snapshot);
        problems.extend(check_routing(name, &service.routing));
        problems
    }

    /// Checks one service's snapshot against this schema.
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
    let mut check = |key: &str, value: u32, lowest: u32, highest: u32| {
        if !(lowest..=highest).contains(&value) {
            problems.push(format!(
                "service '{name}': routing.{key} is {value}, allowed is {lowest} to {highest}"
            ));
        }
    };
    check(
        "connections_per_server",
        routing.connections_per_server,
        1,
        u32::MAX,
    );
    check("slots_per_server", routing.slots_per_server, 1, u32::MAX);
    check(
        "extra_load_per_mille",
        routing.extra_load_per_mille,
        0,
        PER_MILLE,
    );
    check(
        "hedge_quantile_per_mille",
        routing.hedge_quantile_per_mille,
        1,
        PER_MILLE - 1,
    );
    check(
        "suspicion_limit_per_mille",
        routing.suspicion_limit_per_mille,
        0,
        PER_MILLE,
    );
    problems
}
