//! The agent's settings.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use sablehaven_types::{Placement, RegionName, ServiceName, SettingChecks, SettingError, ZoneName};
use serde::{Deserialize, Serialize};

/// The agent's default HTTP port, beside the caller.
const DEFAULT_HTTP_PORT: u16 = 7_400;

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The deployment's name; processes of another one are refused.
    pub deployment: String,
    /// Where callers reach the agent; port 0 takes a free one.
    pub http_listen: SocketAddr,
    /// The IP number from which outgoing connections are made; where it is absent the system chooses.
    pub connect_from: Option<IpAddr>,
    /// Where the agent runs.
    pub placement: Placement,
    /// The services that callers of this agent use; empty means all.
    pub interest: BTreeSet<ServiceName>,
    /// The connection to the relays.
    pub subscription: sablehaven_subscription::Config,
    /// Sizes and counts.
    pub limits: Limits,
    /// Durations.
    pub timing: Timing,
}

/// Limits on sizes and counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest body a caller may send, in bytes.
    pub request_body_bytes: usize,
    /// The largest reply body taken from a back end, in bytes.
    pub reply_body_bytes: usize,
    /// Attempts of one sub-request, the first included.
    pub attempts_per_sub_request: u32,
    /// How often one query may start again because its snapshot disappeared.
    pub query_restarts: u32,
}

/// Durations, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// One call to the request ledger, before it is sent again.
    pub ledger_call_ms: u64,
    /// Pause before a ledger call that found no leader is sent again.
    pub ledger_pause_ms: u64,
    /// Time after the claim within which the outcome is recorded, or the agent gives up on it.
    pub settle_ms: u64,
    /// Time after a caller's deadline during which a late reply of a request that may not be
    /// repeated is still waited for and recorded.
    pub late_reply_ms: u64,
    /// Age of a request that may not be repeated, counted from its issue time, above which it is
    /// not dispatched. Must stay well below the ledger's horizon.
    pub issue_age_limit_ms: u64,
    /// When a caller who got `unknown` or a refusal for lack of a lease may come back.
    pub retry_after_ms: u64,
    /// Time between "not ready" and the closing of the listener in a planned stop.
    pub stop_notice_ms: u64,
    /// Longest time that a planned stop waits for requests in flight.
    pub stop_limit_ms: u64,
    /// Interval of HTTP/2 pings to back ends; a connection without an answer is closed after twice
    /// this time.
    pub connection_ping_ms: u64,
    /// Time that opening a connection to a back end may take.
    pub connect_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deployment: String::new(),
            http_listen: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, DEFAULT_HTTP_PORT)),
            connect_from: None,
            placement: Placement {
                region: RegionName(String::new()),
                zone: ZoneName(String::new()),
            },
            interest: BTreeSet::new(),
            subscription: sablehaven_subscription::Config::default(),
            limits: Limits::default(),
            timing: Timing::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            request_body_bytes: 1024 * 1024,
            reply_body_bytes: 8 * 1024 * 1024,
            attempts_per_sub_request: 3,
            query_restarts: 2,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ledger_call_ms: 500,
            ledger_pause_ms: 50,
            settle_ms: 60_000,
            late_reply_ms: 30_000,
            issue_age_limit_ms: 120_000,
            retry_after_ms: 500,
            stop_notice_ms: 1_000,
            stop_limit_ms: 60_000,
            connection_ping_ms: 2_000,
            connect_ms: 1_000,
        }
    }
}

impl Config {
    /// Every setting that cannot be used, its key under `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.name("deployment", &self.deployment);
        checks.name("placement.region", self.placement.region.as_str());
        checks.name("placement.zone", self.placement.zone.as_str());
        checks.nested("limits", |prefix| self.limits.validate(prefix));
        checks.nested("timing", |prefix| self.timing.validate(prefix));
        checks.nested("subscription", |prefix| self.subscription.validate(prefix));
        checks.into_errors()
    }
}

impl Limits {
    fn validate(&self, prefix: &str) -> Vec<SettingError> {
        const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
        let mut checks = SettingChecks::new(prefix);
        let request_body_bytes = self.request_body_bytes as u64;
        checks.range("request_body_bytes", request_body_bytes, 1..=MAX_BODY_BYTES);
        let reply_body_bytes = self.reply_body_bytes as u64;
        checks.range("reply_body_bytes", reply_body_bytes, 1..=MAX_BODY_BYTES);
        let attempts = self.attempts_per_sub_request;
        checks.range("attempts_per_sub_request", attempts, 1..=10);
        checks.range("query_restarts", self.query_restarts, 0..=10);
        checks.into_errors()
    }
}

impl Timing {
    fn validate(&self, prefix: &str) -> Vec<SettingError> {
        const MINUTE_MS: u64 = 60_000;
        let mut checks = SettingChecks::new(prefix);
        checks.range("ledger_call_ms", self.ledger_call_ms, 10..=MINUTE_MS);
        checks.range("ledger_pause_ms", self.ledger_pause_ms, 1..=MINUTE_MS);
        checks.range("settle_ms", self.settle_ms, 100..=10 * MINUTE_MS);
        checks.range("late_reply_ms", self.late_reply_ms, 0..=10 * MINUTE_MS);
        let issue_age_limit_ms = self.issue_age_limit_ms;
        checks.range(
            "issue_age_limit_ms",
            issue_age_limit_ms,
            1_000..=60 * MINUTE_MS,
        );
        checks.range("retry_after_ms", self.retry_after_ms, 1..=10 * MINUTE_MS);
        checks.range("stop_notice_ms", self.stop_notice_ms, 0..=MINUTE_MS);
        checks.range("stop_limit_ms", self.stop_limit_ms, 100..=60 * MINUTE_MS);
        checks.range(
            "connection_ping_ms",
            self.connection_ping_ms,
            100..=MINUTE_MS,
        );
        checks.range("connect_ms", self.connect_ms, 10..=MINUTE_MS);
        checks.into_errors()
    }

    /// One ledger call.
    pub fn ledger_call_timeout(&self) -> Duration {
        Duration::from_millis(self.ledger_call_ms)
    }

    /// Pause between two ledger calls.
    pub fn ledger_retry_delay(&self) -> Duration {
        Duration::from_millis(self.ledger_pause_ms)
    }

    /// Time within which an outcome is recorded.
    pub fn settle_timeout(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }

    /// Time that a late reply is waited for.
    pub fn late_reply_window(&self) -> Duration {
        Duration::from_millis(self.late_reply_ms)
    }

    /// When a caller may come back.
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms)
    }

    /// Time between "not ready" and the closing of the listener.
    pub fn stop_notice(&self) -> Duration {
        Duration::from_millis(self.stop_notice_ms)
    }

    /// Longest wait for requests in flight in a planned stop.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_limit_ms)
    }

    /// Interval of HTTP/2 pings.
    pub fn ping_interval(&self) -> Duration {
        Duration::from_millis(self.connection_ping_ms)
    }

    /// Time that opening a connection may take.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }
}
