//! Parses and validates a `fleet.toml`.

use std::collections::BTreeSet;

use sablehaven_types::SettingError;

use super::{FleetFile, FleetService, FleetSize};
use crate::schema::DeploymentSchema;

impl FleetFile {
    /// Parses a `fleet.toml`; the error contains the line and key.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Returns an error for every invalid setting; `prefix` is prepended to its key.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut errors = Vec::new();
        if self.deployment.is_empty() {
            let key = format!("{prefix}deployment");
            errors.push(SettingError::new(&key, "\"\"", "a name"));
        }
        self.full.validate(&format!("{prefix}full"), &mut errors);
        self.demo.validate(&format!("{prefix}demo"), &mut errors);
        let mut zones = BTreeSet::new();
        for (index, region) in self.regions.iter().enumerate() {
            let key = format!("{prefix}regions[{index}].zones");
            if region.zones.is_empty() {
                errors.push(SettingError::new(&key, "[]", "at least one zone"));
            }
            for zone in &region.zones {
                if !zones.insert(zone) {
                    errors.push(SettingError::new(&key, zone, "zones of no other region"));
                }
            }
        }
        for (index, service) in self.services.iter().enumerate() {
            let key = format!("{prefix}services[{index}]");
            self.validate_service(service, &key, &mut errors);
        }
        errors
    }

    /// Returns every discrepancy from the deployment's schema as a message for the operator.
    pub fn check_schema(&self, schema: &DeploymentSchema) -> Vec<String> {
        let mut problems = Vec::new();
        let same_topology = self.regions.len() == schema.regions().len()
            && self
                .regions
                .iter()
                .zip(schema.regions())
                .all(|(region, expected)| {
                    region.name == expected.name && region.zones == expected.zones
                });
        if !same_topology {
            problems.push("regions and zones differ from the schema's".to_owned());
        }
        let fleet_services: BTreeSet<_> =
            self.services.iter().map(|service| &service.name).collect();
        let schema_services: BTreeSet<_> = schema.services().map(|service| &service.name).collect();
        for name in fleet_services.symmetric_difference(&schema_services) {
            problems.push(format!(
                "service '{name}' is not in both the fleet file and the schema"
            ));
        }
        problems.extend(schema.check_configuration(&self.configuration(schema, &self.full)));
        problems
    }

    fn validate_service(&self, service: &FleetService, key: &str, errors: &mut Vec<SettingError>) {
        if service.instance_zones.is_empty() {
            let key = format!("{key}.instance_zones");
            errors.push(SettingError::new(&key, "[]", "at least one zone"));
        }
        for zone in &service.instance_zones {
            if self.region_of(zone).is_none() {
                let key = format!("{key}.instance_zones");
                errors.push(SettingError::new(&key, zone, "a zone of a region"));
            }
        }
        let counts = [
            ("servers_per_instance", service.servers_per_instance),
            ("shards", service.shards),
            ("slots_per_server", service.slots_per_server),
            ("connections_per_server", service.connections_per_server),
            ("cold_slowdown", service.cold_slowdown),
        ];
        for (name, count) in counts {
            check_at_least_one(&format!("{key}.{name}"), count, errors);
        }
        if service.id_prefix.is_empty() {
            let key = format!("{key}.id_prefix");
            errors.push(SettingError::new(&key, "\"\"", "a name"));
        }
    }
}

impl FleetSize {
    fn validate(&self, key: &str, errors: &mut Vec<SettingError>) {
        let counts = [
            ("servers_per_mille", self.servers_per_mille),
            ("control_replicas", self.control_replicas),
            ("relays_per_region", self.relays_per_region),
            ("agents_per_region", self.agents_per_region),
        ];
        for (name, count) in counts {
            check_at_least_one(&format!("{key}.{name}"), count, errors);
        }
    }
}

fn check_at_least_one(key: &str, count: u32, errors: &mut Vec<SettingError>) {
    if count == 0 {
        errors.push(SettingError::new(key, count, "at least 1"));
    }
}
