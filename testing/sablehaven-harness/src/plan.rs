//! What a deployment consists of, read from its folder.

use std::path::Path;

use sablehaven_schema::{DeploymentSchema, FleetFile, FleetSize};
use sablehaven_standins::{
    backend::{BackendSettings, HeldSnapshot, ServiceTime},
    host::HostFile,
    platform::PlatformSettings,
};
use sablehaven_types::{Configuration, ServiceName};

use crate::HarnessError;

/// The sizes that a fleet file states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanSize {
    /// The size of a demonstration.
    Demo,
    /// The size of today.
    Full,
}

/// A deployment to be started.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The deployment's schema.
    pub schema: DeploymentSchema,
    /// Its fleet file.
    pub fleet: FleetFile,
    /// The numbers of processes and servers.
    pub size: FleetSize,
    /// Seeds every random choice of stand-ins and proxies.
    pub seed: u64,
    /// How far the platform's list lags behind, in milliseconds.
    pub platform_lag_ms: u64,
    /// Settings of the roles that all processes start from (durations, limits).
    pub settings: sablehaven_cli::Settings,
    /// Whether the proxies add the fleet file's latencies between zones and regions.
    pub with_latency: bool,
}

impl DeploymentPlan {
    /// Reads `schema.proto` and `fleet.toml` of a deployment's folder.
    pub fn read(folder: &Path, size: PlanSize) -> Result<Self, HarnessError> {
        let schema_path = folder.join("schema.proto");
        let schema = DeploymentSchema::parse("schema.proto", &read(&schema_path)?);
        let schema = schema.map_err(|problems| {
            let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
            invalid(&schema_path, problems.join("; "))
        })?;
        let fleet_path = folder.join("fleet.toml");
        let fleet = FleetFile::parse(&read(&fleet_path)?);
        let fleet = fleet.map_err(|error| invalid(&fleet_path, error.to_string()))?;
        let size = match size {
            PlanSize::Demo => fleet.demo,
            PlanSize::Full => fleet.full,
        };
        Ok(Self {
            schema,
            fleet,
            size,
            seed: 1,
            platform_lag_ms: 500,
            settings: sablehaven_cli::Settings::default(),
            with_latency: false,
        })
    }

    /// Keeps only the named services: fewer servers to start.
    pub fn with_services(mut self, names: &[&str]) -> Self {
        self.fleet
            .services
            .retain(|service| names.contains(&service.name.as_str()));
        self
    }

    /// The configuration with which the deployment starts.
    pub fn configuration(&self) -> Configuration {
        self.fleet.configuration(&self.schema, &self.size)
    }

    /// The stand-in back ends and the platform's list.
    pub fn host_file(&self) -> HostFile {
        let configuration = self.configuration();
        let servers = self.fleet.servers(&self.size);
        let backends = servers
            .into_iter()
            .filter_map(|server| {
                let service = self.fleet.services.iter();
                let service = service.clone().find(|service| service.name == server.service)?;
                let snapshot = snapshot_of(&configuration, &server.service)?;
                let mut settings =
                    BackendSettings::new(server.id, server.service, server.placement);
                settings.slots = service.slots_per_server;
                settings.queue_limit = service.queue_per_server;
                settings.connection_limit = service.connections_per_server;
                settings.connection_cost_us = self.fleet.network.connection_cost_ms * 1_000;
                settings.service_time = ServiceTime {
                    median_us: service.service_time_us,
                    ..ServiceTime::default()
                };
                settings.cold_start_ms = service.cold_start_ms;
                settings.cold_factor = f64::from(service.cold_slowdown);
                settings.held = vec![HeldSnapshot {
                    snapshot,
                    shards: server.shards.into_iter().collect(),
                }];
                Some(settings)
            })
            .collect();
        HostFile {
            schema: self.schema.source().clone(),
            admin_listen: loopback(),
            seed: self.seed,
            platform: Some(PlatformSettings {
                listen: loopback(),
                lag_ms: self.platform_lag_ms,
            }),
            backends,
        }
    }
}

fn snapshot_of(
    configuration: &Configuration,
    service: &ServiceName,
) -> Option<sablehaven_types::SnapshotId> {
    let service = configuration.services.get(service)?;
    Some(service.snapshot.id)
}

fn loopback() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn read(path: &Path) -> Result<String, HarnessError> {
    std::fs::read_to_string(path).map_err(|error| HarnessError::File {
        step: "read",
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn invalid(path: &Path, reason: String) -> HarnessError {
    HarnessError::File {
        step: "parse",
        path: path.to_owned(),
        reason,
    }
}
