//! Settings of a relay.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use sablehaven_types::{Placement, SettingError};
use serde::{Deserialize, Serialize};

use crate::control::ledger::LedgerLimits;

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The deployment.
    pub deployment: String,
    /// Address of the HTTP interface (health and metrics).
    pub http_listen: SocketAddr,
    /// Address of the internal interface (agents).
    pub internal_listen: SocketAddr,
    /// The IP number from which outgoing connections are made; where it is absent the system chooses.
    pub connect_from: Option<IpAddr>,
    /// Where the relay runs.
    pub placement: Placement,
    /// The control replicas' internal addresses, the near ones first.
    pub control: Vec<SocketAddr>,
    /// Time between two requests for a proof that the leader is current, in milliseconds. One proof
    /// serves all agents.
    pub lease_interval_ms: u64,
    /// A control replica that gave no proof for this long is left for another, in milliseconds.
    pub lease_timeout_ms: u64,
    /// Least time before the next connection attempt to control, in milliseconds; doubles with each
    /// failure.
    pub retry_minimum_ms: u64,
    /// Greatest time before the next connection attempt to control, in milliseconds.
    pub retry_maximum_ms: u64,
    /// An agent that says nothing for this long is taken as gone, in milliseconds.
    pub agent_silence_ms: u64,
    /// An agent that takes no bytes for this long is disconnected, in milliseconds.
    pub agent_send_timeout_ms: u64,
    /// An agent that went without a goodbye is reported to control for this long, in milliseconds.
    pub agent_forget_ms: u64,
    /// Agents connected at the same time; more are turned away.
    pub maximum_agents: u32,
    /// Handshakes at the same time; more wait.
    pub concurrent_handshakes: u32,
    /// Full updates on their way at the same time; more wait, which bounds the memory that a zone's
    /// agents need when they all come back at once.
    pub concurrent_snapshots: u32,
    /// Least time between two reports of agents' statuses to control, in milliseconds.
    pub status_interval_ms: u64,
    /// Least time between two reports of observations to control, in milliseconds.
    pub observation_interval_ms: u64,
    /// Time that a ledger call may wait for others to share its message, in milliseconds.
    pub ledger_batch_delay_ms: u64,
    /// Ledger calls in one message, at most.
    pub ledger_batch_limit: u32,
    /// Ledger calls waiting or in flight, at most; more are refused at once.
    pub ledger_limit: u32,
    /// Ledger calls of one agent waiting or in flight, at most.
    pub ledger_agent_limit: u32,
    /// Time after which a ledger call without an answer is given up, in milliseconds.
    pub ledger_timeout_ms: u64,
    /// When an agent may come back after a ledger call that had no answer, in milliseconds.
    pub ledger_retry_after_ms: u64,
    /// Time that a planned stop gives agents to move, in milliseconds.
    pub stop_grace_ms: u64,
    /// Greatest duration of a planned stop, in milliseconds.
    pub stop_limit_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            deployment: String::new(),
            http_listen: any_port,
            internal_listen: any_port,
            connect_from: None,
            placement: Placement {
                region: "".into(),
                zone: "".into(),
            },
            control: Vec::new(),
            lease_interval_ms: 250,
            lease_timeout_ms: 1_000,
            retry_minimum_ms: 20,
            retry_maximum_ms: 1_000,
            agent_silence_ms: 10_000,
            agent_send_timeout_ms: 5_000,
            agent_forget_ms: 30_000,
            maximum_agents: 10_000,
            concurrent_handshakes: 128,
            concurrent_snapshots: 64,
            status_interval_ms: 20,
            observation_interval_ms: 50,
            ledger_batch_delay_ms: 1,
            ledger_batch_limit: 512,
            ledger_limit: 8_192,
            ledger_agent_limit: 1_024,
            ledger_timeout_ms: 2_000,
            ledger_retry_after_ms: 200,
            stop_grace_ms: 3_000,
            stop_limit_ms: 10_000,
        }
    }
}

impl Config {
    /// Every setting that cannot be used; `prefix` is the settings' path, such as `relay`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut errors = Vec::new();
        let mut require = |name: &str, holds: bool, value: &str, allowed: &str| {
            if !holds {
                let key = format!("{prefix}.{name}");
                errors.push(SettingError::new(&key, value, allowed));
            }
        };
        let region = self.placement.region.as_str();
        let zone = self.placement.zone.as_str();
        let name = "a name";
        require("deployment", !self.deployment.is_empty(), "''", name);
        require("placement.region", !region.is_empty(), "''", name);
        require("placement.zone", !zone.is_empty(), "''", name);
        let addresses = "at least one address";
        require("control", !self.control.is_empty(), "[]", addresses);
        errors.extend(self.validate_numbers(prefix));
        errors
    }

    fn validate_numbers(&self, prefix: &str) -> Vec<SettingError> {
        const MINUTE: u64 = 60_000;
        let ranges = [
            ("lease_interval_ms", self.lease_interval_ms, 10, MINUTE),
            (
                "lease_timeout_ms",
                self.lease_timeout_ms,
                2 * self.lease_interval_ms,
                MINUTE,
            ),
            ("retry_minimum_ms", self.retry_minimum_ms, 1, MINUTE),
            (
                "retry_maximum_ms",
                self.retry_maximum_ms,
                self.retry_minimum_ms,
                10 * MINUTE,
            ),
            ("agent_silence_ms", self.agent_silence_ms, 1_000, MINUTE),
            (
                "agent_send_timeout_ms",
                self.agent_send_timeout_ms,
                100,
                MINUTE,
            ),
            ("agent_forget_ms", self.agent_forget_ms, 100, 60 * MINUTE),
            ("maximum_agents", self.maximum_agents.into(), 1, 100_000),
            (
                "concurrent_handshakes",
                self.concurrent_handshakes.into(),
                1,
                100_000,
            ),
            (
                "concurrent_snapshots",
                self.concurrent_snapshots.into(),
                1,
                100_000,
            ),
            ("status_interval_ms", self.status_interval_ms, 1, MINUTE),
            (
                "observation_interval_ms",
                self.observation_interval_ms,
                1,
                MINUTE,
            ),
            ("ledger_batch_delay_ms", self.ledger_batch_delay_ms, 0, 100),
            (
                "ledger_batch_limit",
                self.ledger_batch_limit.into(),
                1,
                100_000,
            ),
            ("ledger_limit", self.ledger_limit.into(), 1, 1_000_000),
            (
                "ledger_agent_limit",
                self.ledger_agent_limit.into(),
                1,
                1_000_000,
            ),
            ("ledger_timeout_ms", self.ledger_timeout_ms, 10, MINUTE),
            (
                "ledger_retry_after_ms",
                self.ledger_retry_after_ms,
                1,
                MINUTE,
            ),
            ("stop_grace_ms", self.stop_grace_ms, 0, MINUTE),
            (
                "stop_limit_ms",
                self.stop_limit_ms,
                self.stop_grace_ms,
                10 * MINUTE,
            ),
        ];
        let outside = |&&(_, value, least, greatest): &&(&str, u64, u64, u64)| {
            !(least..=greatest).contains(&value)
        };
        let errors = ranges.iter().filter(outside);
        errors
            .map(|(name, value, least, greatest)| {
                let key = format!("{prefix}.{name}");
                SettingError::new(&key, value, &format!("{least} to {greatest}"))
            })
            .collect()
    }

    pub(crate) fn ledger_limits(&self) -> LedgerLimits {
        LedgerLimits {
            batch_delay: Duration::from_millis(self.ledger_batch_delay_ms),
            batch: self.ledger_batch_limit as usize,
            total: self.ledger_limit as usize,
            per_agent: self.ledger_agent_limit as usize,
            timeout: Duration::from_millis(self.ledger_timeout_ms),
        }
    }
}
