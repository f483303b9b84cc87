//! The experiment file.

use std::path::{Path, PathBuf};

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

/// Errors of reading an experiment file; each names the file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ExperimentError {
    /// read experiment {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// parse experiment {path}: {source}
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with its line.
        source: Box<toml::de::Error>,
    },
    /// experiment {path}: {source}
    Setting {
        /// The file.
        path: PathBuf,
        /// The first setting that cannot be used.
        source: SettingError,
    },
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Names the experiment and its result files.
    pub name: String,
    /// How often each scenario is run with each contender.
    #[serde(default = "default_repeats")]
    pub repeats: u32,
    /// Seeds back ends and callers; each repeat has its own, the same for both contenders.
    #[serde(default)]
    pub seed: u64,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
}

/// One scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Time before the disturbance, which is not measured, in milliseconds.
    #[serde(default = "default_warm_up_ms")]
    pub warm_up_ms: u64,
    /// Time after the disturbance has begun that is not measured either, in milliseconds.
    #[serde(default)]
    pub settle_ms: u64,
    /// Time that is measured, in milliseconds.
    pub measure_ms: u64,
    /// The back ends.
    pub topology: Topology,
    /// The callers.
    pub load: LoadSettings,
    /// What goes wrong after the warm-up.
    #[serde(default)]
    pub disturbance: Disturbance,
}

/// Back ends of one service; each instance is a whole copy of the index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Shards of the index.
    pub shards: u32,
    /// Copies of the index, which is replicas of each shard.
    pub instances: u32,
    /// Regions, each with an agent of the product; copies are spread over them in turn.
    #[serde(default = "one")]
    pub regions: u32,
    /// Servers of each copy.
    pub servers_per_instance: u32,
    /// Requests that a server runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that wait before a server sheds.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Connections that a server accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The median time that a request runs, in microseconds.
    #[serde(default = "default_service_time_us")]
    pub service_time_us: u64,
}

/// Callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Queries a second of each region, each to every shard.
    pub queries_per_second: f64,
    /// Time for each query, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// What goes wrong; the default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Disturbance {
    /// The share of requests that run longer, in thousandths.
    pub slow_per_mille: u32,
    /// How many times longer.
    pub slow_factor: f64,
    /// Replicas of each shard that take requests and never answer.
    pub stuck_replicas: u32,
    /// The share of servers that shed, in thousandths.
    pub shedding_servers_per_mille: u32,
    /// The share of requests that those shed, in thousandths.
    pub shed_per_mille: u32,
    /// Replicas of each shard that are lost.
    pub lost_replicas: u32,
    /// How many times the first region's callers send what they sent before; 0 leaves them alone.
    pub surge_factor: f64,
}

fn one() -> u32 {
    1
}

fn default_repeats() -> u32 {
    5
}

fn default_warm_up_ms() -> u64 {
    3_000
}

fn default_slots() -> u32 {
    3
}

fn default_queue() -> u32 {
    16
}

fn default_connections() -> u32 {
    65
}

fn default_service_time_us() -> u64 {
    3_000
}

fn default_deadline_ms() -> u64 {
    500
}

impl ExperimentFile {
    /// Reads and checks an experiment file.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|source| ExperimentError::Read {
            path: path.to_owned(),
            source,
        })?;
        let file: Self = toml::from_str(&text).map_err(|source| ExperimentError::Parse {
            path: path.to_owned(),
            source: Box::new(source),
        })?;
        match file.validate("").into_iter().next() {
            Some(source) => Err(ExperimentError::Setting {
                path: path.to_owned(),
                source,
            }),
            None => Ok(file),
        }
    }

    /// Every setting that cannot be used, with its key behind `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut errors = Vec::new();
        let key = format!("{prefix}repeats");
        at_least_one(&key, u64::from(self.repeats), &mut errors);
        for (index, scenario) in self.scenarios.iter().enumerate() {
            scenario.validate(&format!("{prefix}scenarios[{index}]"), &mut errors);
        }
        errors
    }
}

impl Scenario {
    fn validate(&self, key: &str, errors: &mut Vec<SettingError>) {
        let topology = &self.topology;
        let counts = [
            ("measure_ms", self.measure_ms),
            ("topology.shards", u64::from(topology.shards)),
            ("topology.regions", u64::from(topology.regions)),
            ("topology.instances", u64::from(topology.instances)),
            (
                "topology.servers_per_instance",
                u64::from(topology.servers_per_instance),
            ),
            ("topology.slots", u64::from(topology.slots)),
            ("topology.connections", u64::from(topology.connections)),
            ("load.deadline_ms", self.load.deadline_ms),
        ];
        for (name, count) in counts {
            at_least_one(&format!("{key}.{name}"), count, errors);
        }
        if self.load.queries_per_second <= 0.0 {
            let key = format!("{key}.load.queries_per_second");
            errors.push(SettingError::new(
                &key,
                self.load.queries_per_second,
                "above 0",
            ));
        }
        let disturbed = self.disturbance.stuck_replicas + self.disturbance.lost_replicas;
        if disturbed >= topology.instances {
            let key = format!("{key}.disturbance.stuck_replicas");
            let allowed = "with lost_replicas below topology.instances";
            errors.push(SettingError::new(&key, disturbed, allowed));
        }
    }
}

fn at_least_one(key: &str, value: u64, errors: &mut Vec<SettingError>) {
    if value == 0 {
        errors.push(SettingError::new(key, value, "at least 1"));
    }
}
