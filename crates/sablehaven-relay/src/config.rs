//! Settings of a relay.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use sablehaven_http::ClientSettings;
use sablehaven_types::{Placement, SettingChecks, SettingError};
use serde::{Deserialize, Serialize};

use crate::control::ledger::LedgerLimits;

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: String,
    /// Address of the HTTP interface, which serves health and metrics.
    pub http_listen: SocketAddr,
    /// Address of the internal interface, to which agents connect.
    pub internal_listen: SocketAddr,
    /// Source IP address of outgoing connections. If absent, the operating system chooses one.
    pub connect_from: Option<IpAddr>,
    /// Region and zone in which the relay runs.
    pub placement: Placement,
    /// Internal addresses of the control replicas, nearest first.
    pub control: Vec<SocketAddr>,
    /// Interval between requests for a proof that the leader is current, in milliseconds. One proof
    /// serves all agents.
    pub lease_interval_ms: u64,
    /// Time without a proof after which the relay switches to another control replica, in
    /// milliseconds.
    pub lease_timeout_ms: u64,
    /// Initial delay between connection attempts to control, in milliseconds. It doubles with each
    /// failure.
    pub retry_minimum_ms: u64,
    /// Maximum delay between connection attempts to control, in milliseconds.
    pub retry_maximum_ms: u64,
    /// Time without a message from an agent after which its connection is closed, in milliseconds.
    pub agent_silence_ms: u64,
    /// Timeout of a write to an agent, in milliseconds. An agent that exceeds it is disconnected.
    pub agent_send_timeout_ms: u64,
    /// Time for which an agent that disconnected without a `Leave` message is still reported to
    /// control, in milliseconds.
    pub agent_forget_ms: u64,
    /// Maximum number of connected agents. Further connections are rejected.
    pub maximum_agents: u32,
    /// Limits on what is held for clients of the HTTP interface. The connections of agents are limited by descriptors as
    /// well.
    pub clients: ClientSettings,
    /// Maximum number of concurrent handshakes. Further ones wait.
    pub concurrent_handshakes: u32,
    /// Maximum number of full updates that are being sent at the same time. Further ones wait. This
    /// bounds the memory needed when all agents of a zone reconnect at once.
    pub concurrent_snapshots: u32,
    /// Minimum interval between reports of agent statuses to control, in milliseconds.
    pub status_interval_ms: u64,
    /// Minimum interval between reports of observations to control, in milliseconds.
    pub observation_interval_ms: u64,
    /// Maximum time that a ledger call waits for other calls to share its message, in milliseconds.
    pub ledger_batch_delay_ms: u64,
    /// Maximum number of ledger calls in one message.
    pub ledger_batch_limit: u32,
    /// Maximum number of ledger calls that are queued or in flight. Further ones are rejected
    /// immediately.
    pub ledger_limit: u32,
    /// Maximum number of ledger calls of one agent that are queued or in flight.
    pub ledger_agent_limit: u32,
    /// Time after which an unanswered ledger call fails, in milliseconds.
    pub ledger_timeout_ms: u64,
    /// Time after which an agent may retry a ledger call that got no answer, in milliseconds.
    pub ledger_retry_after_ms: u64,
    /// Time that agents have to move to another relay during a planned stop, in milliseconds.
    pub stop_grace_ms: u64,
    /// Maximum duration of a planned stop, in milliseconds.
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
            clients: ClientSettings::default(),
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
    /// Returns an error for each invalid setting. `prefix` is the path of these settings, such as
    /// `relay`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        const MINUTE_MS: u64 = 60_000;
        let mut checks = SettingChecks::new(prefix);
        checks.nested("clients", |prefix| self.clients.validate(prefix));
        checks.name("deployment", &self.deployment);
        checks.name("placement.region", self.placement.region.as_str());
        checks.name("placement.zone", self.placement.zone.as_str());
        checks.addresses("control", &self.control);
        checks.range("lease_interval_ms", self.lease_interval_ms, 10..=MINUTE_MS);
        checks.range(
            "lease_timeout_ms",
            self.lease_timeout_ms,
            2 * self.lease_interval_ms..=MINUTE_MS,
        );
        checks.range("retry_minimum_ms", self.retry_minimum_ms, 1..=MINUTE_MS);
        checks.range(
            "retry_maximum_ms",
            self.retry_maximum_ms,
            self.retry_minimum_ms..=10 * MINUTE_MS,
        );
        checks.range("agent_silence_ms", self.agent_silence_ms, 1_000..=MINUTE_MS);
        checks.range(
            "agent_send_timeout_ms",
            self.agent_send_timeout_ms,
            100..=MINUTE_MS,
        );
        checks.range(
            "agent_forget_ms",
            self.agent_forget_ms,
            100..=60 * MINUTE_MS,
        );
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
        checks.range("status_interval_ms", self.status_interval_ms, 1..=MINUTE_MS);
        checks.range(
            "observation_interval_ms",
            self.observation_interval_ms,
            1..=MINUTE_MS,
        );
        checks.range("ledger_batch_delay_ms", self.ledger_batch_delay_ms, 0..=100);
        checks.range("ledger_batch_limit", self.ledger_batch_limit, 1..=100_000);
        checks.range("ledger_limit", self.ledger_limit, 1..=1_000_000);
        checks.range("ledger_agent_limit", self.ledger_agent_limit, 1..=1_000_000);
        checks.range("ledger_timeout_ms", self.ledger_timeout_ms, 10..=MINUTE_MS);
        checks.range(
            "ledger_retry_after_ms",
            self.ledger_retry_after_ms,
            1..=MINUTE_MS,
        );
        checks.range("stop_grace_ms", self.stop_grace_ms, 0..=MINUTE_MS);
        checks.range(
            "stop_limit_ms",
            self.stop_limit_ms,
            self.stop_grace_ms..=10 * MINUTE_MS,
        );
        checks.into_errors()
    }

    pub(crate) fn ledger_limits(&self) -> LedgerLimits {
        LedgerLimits {
            batch_delay: Duration::from_millis(self.ledger_batch_delay_ms),
            max_batch_calls: self.ledger_batch_limit as usize,
            max_open_calls: self.ledger_limit as usize,
            max_open_calls_per_agent: self.ledger_agent_limit as usize,
            timeout: Duration::from_millis(self.ledger_timeout_ms),
        }
    }
}
