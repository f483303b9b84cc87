//! Settings of a relay.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use sablehaven_types::{Placement, SettingChecks, SettingError};
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
        const MINUTE: u64 = 60_000;
        let mut checks = SettingChecks::new(prefix);
        checks.name("deployment", &self.deployment);
        checks.name("placement.region", self.placement.region.as_str());
        checks.name("placement.zone", self.placement.zone.as_str());
        checks.addresses("control", &self.control);
        checks.range("lease_interval_ms", self.lease_interval_ms, 10..=MINUTE);
        checks.range(
            "lease_timeout_ms",
            self.lease_timeout_ms,
            2 * self.lease_interval_ms..=MINUTE,
        );
        checks.range("retry_minimum_ms", self.retry_minimum_ms, 1..=MINUTE);
        checks.range(
            "retry_maximum_ms",
            self.retry_maximum_ms,
            self.retry_minimum_ms..=10 * MINUTE,
        );
        checks.range("agent_silence_ms", self.agent_silence_ms, 1_000..=MINUTE);
        checks.range(
            "agent_send_timeout_ms",
            self.agent_send_timeout_ms,
            100..=MINUTE,
        );
        checks.range("agent_forget_ms", self.agent_forget_ms, 100..=60 * MINUTE);
        checks.range("maximum_agents", self.maximum_agents, 1..=100_000);
        checks.range(
            "concurrent_handshakes",
            self.concurrent_handshakes,
            1..=100_000,
        );
        checks.range(
            "concurrent_snapshots",
            self.concurrent_snapshots,
            1..=100_000,
        );
        checks.range("status_interval_ms", self.status_interval_ms, 1..=MINUTE);
        checks.range(
            "observation_interval_ms",
            self.observation_interval_ms,
            1..=MINUTE,
        );
        checks.range("ledger_batch_delay_ms", self.ledger_batch_delay_ms, 0..=100);
        checks.range("ledger_batch_limit", self.ledger_batch_limit, 1..=100_000);
        checks.range("ledger_limit", self.ledger_limit, 1..=1_000_000);
        checks.range("ledger_agent_limit", self.ledger_agent_limit, 1..=1_000_000);
        checks.range("ledger_timeout_ms", self.ledger_timeout_ms, 10..=MINUTE);
        checks.range(
            "ledger_retry_after_ms",
            self.ledger_retry_after_ms,
            1..=MINUTE,
        );
        checks.range("stop_grace_ms", self.stop_grace_ms, 0..=MINUTE);
        checks.range(
            "stop_limit_ms",
            self.stop_limit_ms,
            self.stop_grace_ms..=10 * MINUTE,
        );
        checks.into_errors()
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
