//! Settings of an agent's subscription.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use sablehaven_types::{SettingChecks, SettingError};
use serde::{Deserialize, Serialize};

use crate::{relay_selector::RetrySettings, supervisor::SupervisorSettings};

/// Settings of an agent's subscription to the relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The relays' internal addresses, the near zone's first.
    pub relays: Vec<SocketAddr>,
    /// The deployment; the agent copies its own here, so it is no setting of its own.
    #[serde(skip)]
    pub deployment: String,
    /// The IP number from which connections are made; the agent copies its own here.
    #[serde(skip)]
    pub connect_from: Option<IpAddr>,
    /// Time between two requests for a lease, in milliseconds.
    pub lease_request_interval_ms: u64,
    /// How long a relay may take to give a usable lease before another one is tried, in
    /// milliseconds.
    pub lease_wait_ms: u64,
    /// Least time before a relay that failed is tried again, in milliseconds; doubles with each
    /// failure.
    pub retry_minimum_ms: u64,
    /// Greatest time before a relay that failed is tried again, in milliseconds.
    pub retry_maximum_ms: u64,
    /// After a relay was lost, the next one is asked after a random part of this time, in
    /// milliseconds, so that a relay's agents do not all arrive at once.
    pub failover_jitter_ms: u64,
    /// Time after which an agent on a farther relay tries a nearer one, in milliseconds; half of it
    /// is random.
    pub return_interval_ms: u64,
    /// Least time between two reports of observations, in milliseconds.
    pub observation_interval_ms: u64,
    /// How long another agent's word that a back end drains counts without control's, in
    /// milliseconds.
    pub hint_lifetime_ms: u64,
    /// Ledger calls that may wait for an answer at the same time; more are refused at once.
    pub maximum_ledger_calls: u32,
    /// When a caller may come back after a ledger call that had no answer, in milliseconds.
    pub ledger_retry_after_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            relays: Vec::new(),
            deployment: String::new(),
            connect_from: None,
            lease_request_interval_ms: 750,
            lease_wait_ms: 700,
            retry_minimum_ms: 100,
            retry_maximum_ms: 10_000,
            failover_jitter_ms: 200,
            return_interval_ms: 60_000,
            observation_interval_ms: 100,
            hint_lifetime_ms: 30_000,
            maximum_ledger_calls: 4_096,
            ledger_retry_after_ms: 200,
        }
    }
}

impl Config {
    /// Every setting that cannot be used; `prefix` is the settings' path, such as
    /// `agent.subscription`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.addresses("relays", &self.relays);
        checks.range(
            "lease_request_interval_ms",
            self.lease_request_interval_ms,
            10..=60_000,
        );
        checks.range("lease_wait_ms", self.lease_wait_ms, 50..=60_000);
        checks.range("retry_minimum_ms", self.retry_minimum_ms, 1..=60_000);
        checks.range(
            "retry_maximum_ms",
            self.retry_maximum_ms,
            self.retry_minimum_ms..=600_000,
        );
        checks.range("failover_jitter_ms", self.failover_jitter_ms, 0..=60_000);
        checks.range(
            "return_interval_ms",
            self.return_interval_ms,
            1_000..=86_400_000,
        );
        checks.range(
            "observation_interval_ms",
            self.observation_interval_ms,
            1..=60_000,
        );
        checks.range("hint_lifetime_ms", self.hint_lifetime_ms, 100..=600_000);
        checks.range(
            "maximum_ledger_calls",
            self.maximum_ledger_calls,
            1..=1_000_000,
        );
        checks.range(
            "ledger_retry_after_ms",
            self.ledger_retry_after_ms,
            1..=60_000,
        );
        checks.into_errors()
    }

    pub(crate) fn supervisor_settings(&self) -> SupervisorSettings {
        SupervisorSettings {
            lease_wait: Duration::from_millis(self.lease_wait_ms),
            failover_jitter: Duration::from_millis(self.failover_jitter_ms),
            return_interval: Duration::from_millis(self.return_interval_ms),
            retry: RetrySettings {
                minimum: Duration::from_millis(self.retry_minimum_ms),
                maximum: Duration::from_millis(self.retry_maximum_ms),
            },
        }
    }
}
