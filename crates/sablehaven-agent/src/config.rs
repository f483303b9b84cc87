//! The agent's settings.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use sablehaven_http::ClientSettings;
use sablehaven_types::{Placement, RegionName, ServiceName, SettingChecks, SettingError, ZoneName};
use serde::{Deserialize, Serialize};

/// Default HTTP port. The agent runs on the same host as its callers.
const DEFAULT_HTTP_PORT: u16 = 7_400;

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The name of the deployment. Connections to processes of another deployment are refused.
    pub deployment: String,
    /// The listen address for callers. Port 0 selects a free port.
    pub http_listen: SocketAddr,
    /// The source IP address of outgoing connections. If absent, the operating system chooses one.
    pub connect_from: Option<IpAddr>,
    /// The region and zone in which the agent runs.
    pub placement: Placement,
    /// The services used by the callers of this agent. Empty means all services.
    pub interest: BTreeSet<ServiceName>,
    /// Settings of the subscription to the relays.
    pub subscription: sablehaven_subscription::Config,
    /// Limits on sizes and counts.
    pub limits: Limits,
    /// Limits on what is held for all callers together.
    pub clients: ClientSettings,
    /// Timeouts, delays and intervals.
    pub timing: Timing,
}

/// Limits on sizes and counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub request_body_bytes: usize,
    /// Maximum size of a reply body from a back end, in bytes.
    pub reply_body_bytes: usize,
    /// Maximum number of attempts of one sub-request, including the first.
    pub attempts_per_sub_request: u32,
    /// Maximum number of times a query restarts because its snapshot is gone.
    pub query_restarts: u32,
}

/// Timeouts, delays and intervals, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Timeout of one call to the request ledger, after which the call is sent again.
    pub ledger_call_ms: u64,
    /// Delay before a ledger call that found no leader is sent again.
    pub ledger_pause_ms: u64,
    /// Time limit for recording an outcome or a release in the ledger, after which the agent gives up.
    pub settle_ms: u64,
    /// Time after the caller's deadline during which the agent still waits for the reply to an
    /// at-most-once request, in order to record it.
    pub late_reply_ms: u64,
    /// Maximum age of an at-most-once request, counted from its issue time, at which it is still
    /// dispatched. Must be well below the horizon of the ledger.
    pub issue_age_limit_ms: u64,
    /// Retry delay given to callers whose request ended as `unknown` or was refused for lack of a
    /// lease.
    pub retry_after_ms: u64,
    /// In a planned stop, the time between reporting "not ready" and closing the listener.
    pub stop_notice_ms: u64,
    /// In a planned stop, the maximum time to wait for requests in flight.
    pub stop_limit_ms: u64,
    /// Interval of HTTP/2 pings to back ends. A connection on which nothing is answered is closed
    /// after twice this time.
    pub connection_ping_ms: u64,
    /// Timeout for opening a connection to a back end.
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
            clients: ClientSettings::default(),
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
    /// Returns an error for every invalid setting. The keys in the errors start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.name("deployment", &self.deployment);
        checks.name("placement.region", self.placement.region.as_str());
        checks.name("placement.zone", self.placement.zone.as_str());
        checks.nested("limits", |prefix| self.limits.validate(prefix));
        checks.nested("clients", |prefix| self.clients.validate(prefix));
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

    /// Timeout of one ledger call.
    pub fn ledger_call_timeout(&self) -> Duration {
        Duration::from_millis(self.ledger_call_ms)
    }

    /// Delay before a ledger call is sent again.
    pub fn ledger_retry_delay(&self) -> Duration {
        Duration::from_millis(self.ledger_pause_ms)
    }

    /// Time limit for recording an outcome or a release.
    pub fn settle_timeout(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }

    /// Time after the caller's deadline during which a late reply is still recorded.
    pub fn late_reply_window(&self) -> Duration {
        Duration::from_millis(self.late_reply_ms)
    }

    /// Retry delay given to callers.
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms)
    }

    /// Time between reporting "not ready" and closing the listener.
    pub fn stop_notice(&self) -> Duration {
        Duration::from_millis(self.stop_notice_ms)
    }

    /// Maximum time to wait for requests in flight in a planned stop.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_limit_ms)
    }

    /// Interval of HTTP/2 pings.
    pub fn ping_interval(&self) -> Duration {
        Duration::from_millis(self.connection_ping_ms)
    }

    /// Timeout for opening a connection.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }
}
