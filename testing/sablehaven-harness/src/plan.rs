//! What a deployment consists of, read from its folder.

use std::path::Path;

use sablehaven_schema::{
    DeploymentSchema,
    fleet_file::{FleetFile, FleetSize},
};
use sablehaven_standins::host::HostFile;
use sablehaven_types::Configuration;

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
    /// Machines on the platform's list without a server behind them, for measurements of size.
    pub hollow_backends: u32,
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
            hollow_backends: 0,
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
        let mut file = HostFile::of_fleet(
            &self.fleet,
            &self.size,
            &self.schema,
            self.platform_lag_ms,
            self.seed,
        );
        if let Some(platform) = &mut file.platform {
            platform.hollow_machines = self.hollow_backends;
        }
        file
    }
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
