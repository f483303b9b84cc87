//! Validation of settings. Errors state the key, the value and the allowed values.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive};

use serde::{Deserialize, Serialize};

/// An invalid setting.
#[derive(
    Clone, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, thiserror::Error,
)]
#[displaydoc("setting '{key}' is {value}, allowed is {allowed}")]
pub struct SettingError {
    /// The full key of the setting, such as `agent.relays`.
    pub key: String,
    /// The configured value.
    pub value: String,
    /// A description of the allowed values.
    pub allowed: String,
}

impl SettingError {
    /// Creates the error for an invalid setting.
    pub fn new(key: &str, value: impl ToString, allowed: &str) -> Self {
        Self {
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

/// Validates one section of the settings and collects the errors.
#[derive(Debug)]
pub struct SettingChecks<'a> {
    prefix: &'a str,
    errors: Vec<SettingError>,
}

impl<'a> SettingChecks<'a> {
    /// Creates the checks for the section with the key `prefix`, such as `agent.timing`.
    pub fn new(prefix: &'a str) -> Self {
        Self {
            prefix,
            errors: Vec::new(),
        }
    }

    /// Adds an error unless `is_valid`.
    pub fn require(&mut self, key: &str, is_valid: bool, value: impl Display, allowed: &str) {
        if is_valid {
            return;
        }
        let key = self.key(key);
        self.errors.push(SettingError::new(&key, value, allowed));
    }

    /// Requires that a number is within a range.
    pub fn range(&mut self, key: &str, value: impl Into<u64>, range: RangeInclusive<u64>) {
        let value = value.into();
        let allowed = format!("{} to {}", range.start(), range.end());
        self.require(key, range.contains(&value), value, &allowed);
    }

    /// Requires that a number is at least `minimum`.
    pub fn at_least(&mut self, key: &str, value: u64, minimum: u64) {
        self.require(key, value >= minimum, value, &format!("at least {minimum}"));
    }

    /// Requires that a name is not empty.
    pub fn name(&mut self, key: &str, name: &str) {
        self.require(key, !name.is_empty(), "''", "a name that is not empty");
    }

    /// Requires at least one address.
    pub fn addresses(&mut self, key: &str, addresses: &[SocketAddr]) {
        self.require(key, !addresses.is_empty(), "[]", "at least one address");
    }

    /// Adds the errors of a nested section. `check` receives the full key of that section.
    pub fn nested(&mut self, key: &str, check: impl FnOnce(&str) -> Vec<SettingError>) {
        let prefix = self.key(key);
        self.errors.extend(check(&prefix));
    }

    /// Returns every error found.
    pub fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.prefix)
    }
}
