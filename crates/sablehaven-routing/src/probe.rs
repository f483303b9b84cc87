//! How many requests may serve as probes of back ends that are out.

/// Probes allowed, as a share of the work that queries need: a probe may cost its query a hedge, so
/// probes must touch few queries.
const PROBE_SHARE: f64 = 0.002;
/// Probes that may be saved up.
const MAX_SAVED: f64 = 2.0;

/// The probes of one service in one agent.
#[derive(Clone, Debug, Default)]
pub struct ProbeAllowance {
    tokens: f64,
}

impl ProbeAllowance {
    /// Earns for work that a query needs.
    pub fn earn(&mut self, sub_requests: u32) {
        self.tokens = (self.tokens + PROBE_SHARE * f64::from(sub_requests)).min(MAX_SAVED);
    }

    /// Whether a probe is allowed.
    pub fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one probe.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
