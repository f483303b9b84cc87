//! The settings file: one TOML section a role, with overrides from the command line.

use std::{
    collections::BTreeSet,
    fmt,
    path::{Path, PathBuf},
    str::FromStr,
};

use sablehaven_types::SettingError;
use serde::{Deserialize, Serialize};

/// Settings of every role; a process reads its own section.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// A control replica.
    pub control: sablehaven_control::Config,
    /// A relay.
    pub relay: sablehaven_relay::Config,
    /// An agent.
    pub agent: sablehaven_agent::Config,
    /// A gateway.
    pub gateway: sablehaven_gateway::Config,
}

/// A role that a process can take.
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
    /// Every role.
    pub const ALL: [Self; 4] = [Self::Control, Self::Relay, Self::Agent, Self::Gateway];

    /// The role's name, which is also its subcommand and its section in the settings file.
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

/// Errors of loading settings; each names the file or the key.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// read settings {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// parse settings {path}: {reason}
    Parse {
        /// The file.
        path: String,
        /// What does not fit, with its line.
        reason: String,
    },
    /// override '{text}': {reason}
    Override {
        /// The override as given.
        text: String,
        /// What does not fit.
        reason: &'static str,
    },
    /// settings {path} are not valid:{problems}
    Invalid {
        /// The file.
        path: String,
        /// Every setting that cannot be used.
        problems: SettingProblems,
    },
}

/// Every setting that cannot be used, one a line.
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

/// One `--set section.key=value` of the command line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SettingOverride {
    keys: Vec<String>,
    value: toml::Value,
}

impl FromStr for SettingOverride {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = |reason| SettingsError::Override {
            text: text.to_owned(),
            reason,
        };
        let (path, value) = text
            .split_once('=')
            .ok_or_else(|| refuse("expected section.key=value"))?;
        let keys: Vec<String> = path.trim().split('.').map(str::to_owned).collect();
        if keys.len() < 2 || keys.iter().any(String::is_empty) {
            return Err(refuse("expected a key such as agent.http_listen"));
        }
        Ok(Self {
            keys,
            value: parse_value(value.trim()),
        })
    }
}

/// A value as TOML; what is not TOML by itself, such as an address, is taken as text.
fn parse_value(text: &str) -> toml::Value {
    let document = format!("value = {text}");
    match document.parse::<toml::Table>() {
        Ok(mut table) => table
            .remove("value")
            .unwrap_or_else(|| toml::Value::String(text.to_owned())),
        Err(_) => toml::Value::String(text.to_owned()),
    }
}

/// Settings as loaded, and which sections were given.
#[derive(Clone, Debug)]
pub(crate) struct LoadedSettings {
    pub(crate) settings: Settings,
    pub(crate) sections: BTreeSet<RoleName>,
}

/// Reads the file, applies the overrides and checks the given sections and `required`.
pub(crate) fn load(
    path: Option<&Path>,
    overrides: &[SettingOverride],
    required: Option<RoleName>,
) -> Result<LoadedSettings, SettingsError> {
    let name = path.map_or_else(
        || "of the command line".to_owned(),
        |path| path.display().to_string(),
    );
    let mut table = match path {
        Some(path) => read_table(path)?,
        None => toml::Table::new(),
    };
    for change in overrides {
        apply_override(&mut table, change)?;
    }
    let mut sections: BTreeSet<RoleName> = RoleName::ALL
        .into_iter()
        .filter(|role| table.contains_key(role.as_str()))
        .collect();
    sections.extend(required);
    let settings: Settings = table.try_into().map_err(|error| SettingsError::Parse {
        path: name.clone(),
        reason: error.to_string().trim_end().to_owned(),
    })?;
    let problems = validate(&settings, &sections);
    if !problems.is_empty() {
        return Err(SettingsError::Invalid {
            path: name,
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
    // Parsed into the typed settings first, so that an error names its line in the file.
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

fn apply_override(table: &mut toml::Table, change: &SettingOverride) -> Result<(), SettingsError> {
    let (last, sections) = change
        .keys
        .split_last()
        .expect("an override has at least two keys");
    let mut table = table;
    for key in sections {
        let section = table
            .entry(key.clone())
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        table = section
            .as_table_mut()
            .ok_or_else(|| SettingsError::Override {
                text: change.keys.join("."),
                reason: "a part of the key names a value, not a section",
            })?;
    }
    table.insert(last.clone(), change.value.clone());
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
