//! The settings file, which has one TOML section per role, and overrides from the command line.

use std::{
    collections::BTreeSet,
    fmt,
    path::{Path, PathBuf},
    str::FromStr,
};

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

/// Settings of all roles. A process uses the section of its role.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Settings of a control replica.
    pub control: sablehaven_control::Config,
    /// Settings of a relay.
    pub relay: sablehaven_relay::Config,
    /// Settings of an agent.
    pub agent: sablehaven_agent::Config,
    /// Settings of a gateway.
    pub gateway: sablehaven_gateway::Config,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoleName {
    /// A control replica.
    Control,
    /// A relay.
    Relay,
    /// An agent.
    Agent,
    /// A gateway.
    Gateway,
}

impl RoleName {
    /// All roles.
    pub const ALL: [Self; 4] = [Self::Control, Self::Relay, Self::Agent, Self::Gateway];

    /// Returns the name of the role, which is also the name of its subcommand and of its section in the
    /// settings file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Relay => "relay",
            Self::Agent => "agent",
            Self::Gateway => "gateway",
        }
    }
}

impl fmt::Display for RoleName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Errors that occur while settings are loaded. Each message names the file or the key.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// failed to read settings {path}: {source}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// failed to parse settings {path}: {reason}
    Parse {
        /// Path of the file, or a description of the source if there is no file.
        path: String,
        /// Description of the error, with its line in the file.
        reason: String,
    },
    /// invalid override '{text}': {reason}
    Override {
        /// Text of the override, or its key.
        text: String,
        /// Description of the error.
        reason: &'static str,
    },
    /// settings {path} are invalid:{problems}
    Invalid {
        /// Path of the file, or a description of the source if there is no file.
        path: String,
        /// All invalid settings.
        problems: SettingProblems,
    },
}

/// All invalid settings, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingProblems(pub Vec<SettingError>);

impl fmt::Display for SettingProblems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}

/// One `--set section.key=value` argument of the command line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SettingOverride {
    keys: Vec<String>,
    value: toml::Value,
}

impl FromStr for SettingOverride {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = |reason| SettingsError::Override {
            text: text.to_owned(),
            reason,
        };
        let (path, value) = text
            .split_once('=')
            .ok_or_else(|| invalid("expected section.key=value"))?;
        let keys: Vec<String> = path.trim().split('.').map(str::to_owned).collect();
        if keys.len() < 2 || keys.iter().any(String::is_empty) {
            return Err(invalid("expected a key such as agent.http_listen"));
        }
        Ok(Self {
            keys,
            value: parse_value(value.trim()),
        })
    }
}

/// Parses a value as TOML. A value that is not valid TOML, such as an unquoted address, becomes a
/// string.
fn parse_value(text: &str) -> toml::Value {
    let document = format!("value = {text}");
    match document.parse::<toml::Table>() {
        Ok(mut table) => table
            .remove("value")
            .unwrap_or_else(|| toml::Value::String(text.to_owned())),
        Err(_) => toml::Value::String(text.to_owned()),
    }
}

/// Loaded settings.
#[derive(Clone, Debug)]
pub(crate) struct LoadedSettings {
    pub(crate) settings: Settings,
    /// Roles whose sections were checked: those present in the file or the overrides, and the required
    /// one.
    pub(crate) sections: BTreeSet<RoleName>,
}

/// Reads the file, applies the overrides, and checks the sections that are present and the section of
/// the `required` role.
pub(crate) fn load(
    path: Option<&Path>,
    overrides: &[SettingOverride],
    required: Option<RoleName>,
) -> Result<LoadedSettings, SettingsError> {
    let source = path.map_or_else(
        || "from the command line".to_owned(),
        |path| path.display().to_string(),
    );
    let mut table = match path {
        Some(path) => read_table(path)?,
        None => toml::Table::new(),
    };
    for setting in overrides {
        apply_override(&mut table, setting)?;
    }
    let mut sections: BTreeSet<RoleName> = RoleName::ALL
        .into_iter()
        .filter(|role| table.contains_key(role.as_str()))
        .collect();
    sections.extend(required);
    let settings: Settings = table.try_into().map_err(|error| SettingsError::Parse {
        path: source.clone(),
        reason: error.to_string().trim_end().to_owned(),
    })?;
    let problems = validate(&settings, &sections);
    if !problems.is_empty() {
        return Err(SettingsError::Invalid {
            path: source,
            problems: SettingProblems(problems),
        });
    }
    Ok(LoadedSettings { settings, sections })
}

fn read_table(path: &Path) -> Result<toml::Table, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    // Parsed as typed settings first, because these errors contain the line in the file.
    toml::from_str::<Settings>(&text)
        .map_err(|error| error.to_string())
        .and_then(|_| {
            text.parse::<toml::Table>()
                .map_err(|error| error.to_string())
        })
        .map_err(|reason| SettingsError::Parse {
            path: path.display().to_string(),
            reason: reason.trim_end().to_owned(),
        })
}

fn apply_override(table: &mut toml::Table, setting: &SettingOverride) -> Result<(), SettingsError> {
    let (last_key, section_keys) = setting
        .keys
        .split_last()
        .expect("an override has at least two keys");
    let mut table = table;
    for key in section_keys {
        let section = table
            .entry(key.clone())
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        table = section
            .as_table_mut()
            .ok_or_else(|| SettingsError::Override {
                text: setting.keys.join("."),
                reason: "a component of the key before the last is a value, not a section",
            })?;
    }
    table.insert(last_key.clone(), setting.value.clone());
    Ok(())
}

fn validate(settings: &Settings, sections: &BTreeSet<RoleName>) -> Vec<SettingError> {
    sections
        .iter()
        .flat_map(|role| match role {
            RoleName::Control => settings.control.validate("control"),
            RoleName::Relay => settings.relay.validate("relay"),
            RoleName::Agent => settings.agent.validate("agent"),
            RoleName::Gateway => settings.gateway.validate("gateway"),
        })
        .collect()
}
