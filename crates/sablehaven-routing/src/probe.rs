//! Limits how many requests serve as probes of back ends that are ejected or shed everything.

/// Probes per needed sub-request. A probe may require a hedge for its query, so probes must affect
/// few queries.
const PROBE_SHARE: f64 = 0.002;
/// Capacity of the budget, in probes.
const MAX_TOKENS: f64 = 2.0;

/// Probe budget of one service in one agent.
#[derive(Clone, Debug, Default)]
pub struct ProbeBudget {
    tokens: f64,
}

impl ProbeBudget {
    /// Adds tokens for sub-requests that a query needs.
    pub fn deposit(&mut self, sub_requests: u32) {
        self.tokens = (self.tokens + PROBE_SHARE * f64::from(sub_requests)).min(MAX_TOKENS);
    }

    /// Returns whether a probe is allowed.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for one probe.
    pub fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
