//! Checks of settings, and the errors that name key, value and allowed range.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive};

use serde::{Deserialize, Serialize};

/// One setting that cannot be used.
#[derive(
    Clone, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, thiserror::Error,
)]
#[displaydoc("setting '{key}' is {value}, allowed is {allowed}")]
pub struct SettingError {
    /// The setting's full key, such as `agent.relays`.
    pub key: String,
    /// The value that was given.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

impl SettingError {
    /// Describes a setting that cannot be used.
    pub fn new(key: &str, value: impl ToString, allowed: &str) -> Self {
        Self {
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

/// Gathers the errors of one section of settings.
#[derive(Debug)]
pub struct SettingChecks<'a> {
    prefix: &'a str,
    errors: Vec<SettingError>,
}

impl<'a> SettingChecks<'a> {
    /// Checks of the section `prefix`, such as `agent.timing`.
    pub fn new(prefix: &'a str) -> Self {
        Self {
            prefix,
            errors: Vec::new(),
        }
    }

    /// Requires what `holds` says.
    pub fn require(&mut self, key: &str, holds: bool, value: impl Display, allowed: &str) {
        if holds {
            return;
        }
        let key = self.key(key);
        self.errors.push(SettingError::new(&key, value, allowed));
    }

    /// Requires a number within a range.
    pub fn range(&mut self, key: &str, value: impl Into<u64>, range: RangeInclusive<u64>) {
        let value = value.into();
        let allowed = format!("{} to {}", range.start(), range.end());
        self.require(key, range.contains(&value), value, &allowed);
    }

    /// Requires a number that is not too small.
    pub fn at_least(&mut self, key: &str, value: u64, least: u64) {
        self.require(key, value >= least, value, &format!("at least {least}"));
    }

    /// Requires a name.
    pub fn name(&mut self, key: &str, name: &str) {
        self.require(key, !name.is_empty(), "''", "a name that is not empty");
    }

    /// Requires at least one address.
    pub fn addresses(&mut self, key: &str, addresses: &[SocketAddr]) {
        self.require(key, !addresses.is_empty(), "[]", "at least one address");
    }

    /// Adds the errors of a section within this one, checked under its own prefix.
    pub fn nested(&mut self, key: &str, check: impl FnOnce(&str) -> Vec<SettingError>) {
        let prefix = self.key(key);
        self.errors.extend(check(&prefix));
    }

    /// Every error found.
    pub fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.prefix)
    }
}
