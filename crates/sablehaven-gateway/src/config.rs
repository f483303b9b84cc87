//! Settings of a gateway.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use sablehaven_types::{
    Placement, QuotaTolerance, RegionName, SettingChecks, SettingError, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::answer_margin::MarginBounds;

/// Settings of a gateway. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The deployment's name; control replicas of others are refused.
    pub deployment: String,
    /// Where callers are accepted.
    pub listen: SocketAddr,
    /// Where `GET /ready` is answered; without it nowhere.
    pub ready_listen: Option<SocketAddr>,
    /// The address that callers are told of, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// The IP number from which outgoing connections are made; where it is absent the system chooses.
    pub connect_from: Option<IpAddr>,
    /// Where the gateway runs.
    pub placement: Placement,
    /// The region of each zone, so that servers of the own region are told from farther ones.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Internal addresses of control replicas; the others are learned from them.
    pub controls: Vec<SocketAddr>,
    /// Bounds of extra attempts, for all gateways together.
    pub retries: RetryBounds,
    /// Time that an answer takes back to its caller, with some room: an answer that is to be in time
    /// leaves so long before its aim.
    pub answer_margin_ms: u64,
    /// The most that an answer leaves before its aim, where the gateway sees that it acts later than planned;
    /// `answer_margin_ms` or less adapts nothing.
    pub max_answer_margin_ms: u64,
    /// Time for which a stopping gateway still takes requests: callers may hold its address for so
    /// long.
    pub stop_linger_ms: u64,
    /// Time after which a stopping gateway ends, whatever is still open.
    pub stop_limit_ms: u64,
    /// Requests that are answered at the same time; more are refused, the least urgent first.
    pub max_requests: usize,
    /// The largest share of a kind of request that is refused while most of its answers are late or none,
    /// 0 to 0.9; 0 refuses none for that.
    pub max_throttled: f64,
    /// How far tenants' requests may go beyond their quotas, over all gateways together.
    pub quotas: QuotaTolerance,
}

/// Bounds of extra attempts, for all gateways together: in any window, attempts beyond the first of
/// each request stay under `ratio` times the requests plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBounds {
    /// Extra attempts a request.
    pub ratio: f64,
    /// Extra attempts a window beyond that, over all gateways.
    pub slack: f64,
    /// The window's length.
    pub window_ms: u64,
    /// Time after its start in which a gateway uses nothing of the slack: an earlier start of it may have, and
    /// that counts for a window.
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
            max_throttled: 0.7,
            quotas: QuotaTolerance::default(),
        }
    }
}

impl Config {
    /// Every setting that cannot be used; keys start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.name("deployment", &self.deployment);
        checks.addresses("controls", &self.controls);
        let ratio = self.retries.ratio;
        let holds = (0.0..=1.0).contains(&ratio);
        checks.require("retries.ratio", holds, ratio, "0 to 1");
        let slack = self.retries.slack;
        let holds = slack.is_finite() && slack >= 0.0;
        checks.require("retries.slack", holds, slack, "0 or more");
        checks.range("retries.window_ms", self.retries.window_ms, 100..=600_000);
        let limit = self.stop_limit_ms;
        let holds = limit >= self.stop_linger_ms;
        checks.require("stop_limit_ms", holds, limit, "at least stop_linger_ms");
        checks.at_least("max_requests", self.max_requests as u64, 1);
        let share = self.max_throttled;
        let holds = (0.0..=0.9).contains(&share);
        checks.require("max_throttled", holds, share, "0 to 0.9");
        checks.into_errors()
    }

    pub(crate) fn margin_bounds(&self) -> MarginBounds {
        MarginBounds {
            min: Duration::from_millis(self.answer_margin_ms),
            max: Duration::from_millis(self.max_answer_margin_ms),
        }
    }
}
