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
    /// The internal addresses of the relays, those in the nearest zone first.
    pub relays: Vec<SocketAddr>,
    /// The deployment. Not a setting of the subscription: the agent sets it to its own deployment.
    #[serde(skip)]
    pub deployment: String,
    /// The local IP address for connections. The agent sets it to its own setting.
    #[serde(skip)]
    pub connect_from: Option<IpAddr>,
    /// Interval between two lease requests, in milliseconds.
    pub lease_request_interval_ms: u64,
    /// How long a relay may take to grant a valid lease before another relay is tried, in
    /// milliseconds.
    pub lease_wait_ms: u64,
    /// Minimum delay before a failed relay is tried again, in milliseconds. The delay doubles with each
    /// failure.
    pub retry_minimum_ms: u64,
    /// Maximum delay before a failed relay is tried again, in milliseconds.
    pub retry_maximum_ms: u64,
    /// Maximum random delay before connecting to another relay after a connection is lost, in
    /// milliseconds. It keeps the agents of a failed relay from all connecting at once.
    pub failover_jitter_ms: u64,
    /// Maximum time after which an agent on a more distant relay tries a nearer one, in milliseconds.
    /// Half of the time is fixed, the other half is random.
    pub return_interval_ms: u64,
    /// Minimum interval between two reports of observations, in milliseconds.
    pub observation_interval_ms: u64,
    /// How long an agent's report that a back end is draining is used without confirmation by control,
    /// in milliseconds.
    pub hint_lifetime_ms: u64,
    /// Maximum number of concurrent ledger calls. Further calls are rejected immediately.
    pub maximum_ledger_calls: u32,
    /// The retry delay that a caller is given after a ledger call without an answer, in milliseconds.
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
    /// Returns an error for each invalid setting. `prefix` is the path of these settings, such as
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
