//! The settings of a gateway and their validation.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use sablehaven_http::ClientSettings;
use sablehaven_types::{
    Placement, QuotaTolerance, RegionName, SettingChecks, SettingError, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::answer_margin::MarginBounds;

/// Settings of a gateway. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The deployment's name. The gateway refuses control replicas of other deployments.
    pub deployment: String,
    /// Address on which callers' requests are accepted.
    pub listen: SocketAddr,
    /// Address on which `GET /ready` is served; if absent, it is not served.
    pub ready_listen: Option<SocketAddr>,
    /// The address that is advertised to callers, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Local IP address of outgoing connections; if absent, the system chooses it.
    pub connect_from: Option<IpAddr>,
    /// The region and zone in which the gateway runs.
    pub placement: Placement,
    /// The region of each zone. It distinguishes servers in the gateway's own region from those in other
    /// regions.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Internal addresses of control replicas. The gateway learns the addresses of further replicas from these.
    pub controls: Vec<SocketAddr>,
    /// Limits of extra attempts, over all gateways together.
    pub retries: RetryBounds,
    /// Time that a response takes to reach its caller, plus a reserve. A response is sent this long before its
    /// latency target.
    pub answer_margin_ms: u64,
    /// Maximum time before the latency target at which a response is sent, if the gateway observes that it acts
    /// later than planned. At `answer_margin_ms` or less the margin is not adapted.
    pub max_answer_margin_ms: u64,
    /// Time for which a stopping gateway still accepts requests, since callers may keep its address for this
    /// long.
    pub stop_linger_ms: u64,
    /// Time after which a stopping gateway terminates, even if callers are still receiving their responses. Shortly
    /// before, all requests are answered that are still open.
    pub stop_limit_ms: u64,
    /// Maximum number of open requests. Beyond it requests are refused, the least urgent first.
    pub max_requests: usize,
    /// Limits on what is held for callers and for other clients.
    pub clients: ClientSettings,
    /// Maximum fraction (0 to 0.9) of the requests of one kind that is refused while most of their responses are
    /// late or missing. At 0 no request is refused for this reason.
    pub max_throttled: f64,
    /// How far tenants' requests may exceed their quotas, over all gateways together.
    pub quotas: QuotaTolerance,
}

/// Limits of extra attempts, over all gateways together: within any window, the attempts beyond the first of
/// each request stay below `ratio` times the number of requests plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBounds {
    /// Extra attempts per request.
    pub ratio: f64,
    /// Additional extra attempts per window, over all gateways.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Time after its start during which a gateway uses none of the slack. Before a restart it may already have
    /// used some, and that counts until the window has passed.
    pub slack_pause_ms: u64,
}

impl Default for RetryBounds {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
            window_ms: 10_000,
            slack_pause_ms: 10_000,
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deployment: String::new(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            ready_listen: None,
            advertise: None,
            connect_from: None,
            placement: Placement {
                region: String::new().into(),
                zone: String::new().into(),
            },
            regions: BTreeMap::new(),
            controls: Vec::new(),
            retries: RetryBounds::default(),
            answer_margin_ms: 20,
            max_answer_margin_ms: 20,
            stop_linger_ms: 3_300,
            stop_limit_ms: 5_500,
            max_requests: 512,
            clients: ClientSettings::default(),
            max_throttled: 0.7,
            quotas: QuotaTolerance::default(),
        }
    }
}

impl Config {
    /// Returns an error for each invalid setting. The keys in the errors start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.name("deployment", &self.deployment);
        checks.addresses("controls", &self.controls);
        let ratio = self.retries.ratio;
        let is_valid = (0.0..=1.0).contains(&ratio);
        checks.require("retries.ratio", is_valid, ratio, "0 to 1");
        let slack = self.retries.slack;
        let is_valid = slack.is_finite() && slack >= 0.0;
        checks.require("retries.slack", is_valid, slack, "0 or more");
        checks.range("retries.window_ms", self.retries.window_ms, 100..=600_000);
        let limit = self.stop_limit_ms;
        let is_valid = limit >= self.stop_linger_ms;
        checks.require("stop_limit_ms", is_valid, limit, "at least stop_linger_ms");
        checks.at_least("max_requests", self.max_requests as u64, 1);
        checks.nested("clients", |prefix| self.clients.validate(prefix));
        let fraction = self.max_throttled;
        let is_valid = (0.0..=0.9).contains(&fraction);
        checks.require("max_throttled", is_valid, fraction, "0 to 0.9");
        checks.into_errors()
    }

    pub(crate) fn margin_bounds(&self) -> MarginBounds {
        MarginBounds {
            min: Duration::from_millis(self.answer_margin_ms),
            max: Duration::from_millis(self.max_answer_margin_ms),
        }
    }
}
