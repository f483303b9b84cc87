//! The metrics of a gateway, in the Prometheus text format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use sablehaven_http::ClientBudget;

/// Upper bound of the first bucket for request durations, in seconds.
const MIN_DURATION_SECONDS: f64 = 0.004;
/// Upper bound of the first bucket for waits for a token, in seconds.
const MIN_TOKEN_WAIT_SECONDS: f64 = 0.000_5;
/// Number of buckets. Each upper bound is twice the previous one.
const BUCKET_COUNT: u16 = 12;

/// How a request ended, as the value of its `outcome` label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete response.
    Whole,
    /// A response without some of its shards.
    Partial,
    /// A failure response of a server, passed on to the caller.
    ServerFailed,
    /// The gateway gave up without a response from a server.
    Failed,
    /// Not admitted by the gateway.
    Refused,
}

/// Labels of the request metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    target: &'static str,
    outcome: &'static str,
}

/// Labels of the attempt counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    ending: &'static str,
}

/// Labels of the counter of spent tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TokenLabels {
    from: &'static str,
}

/// Labels of the counter of requests that were refused without a token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TokenRefusalLabels {
    reason: &'static str,
}

/// The metrics of one gateway, with their registry.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    durations: Family<RequestLabels, Histogram, fn() -> Histogram>,
    attempts: Family<AttemptLabels, Counter>,
    pub(crate) extra_attempts: Counter,
    pub(crate) unaffordable_attempts: Counter,
    pub(crate) quarantined_requests: Counter,
    tokens_spent: Family<TokenLabels, Counter>,
    tokens_refused: Family<TokenRefusalLabels, Counter>,
    pub(crate) token_wait_seconds: Histogram,
    pub(crate) unknown_key_requests: Counter,
    pub(crate) open_requests: Gauge,
    pub(crate) routes_version: Gauge,
    pub(crate) listed_servers: Gauge,
    pub(crate) control_connections: Gauge,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(MIN_DURATION_SECONDS, 2.0, BUCKET_COUNT))
}

/// Most tokens arrive within a few milliseconds, so this histogram starts at a shorter time.
fn token_wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        MIN_TOKEN_WAIT_SECONDS,
        2.0,
        BUCKET_COUNT,
    ))
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("sablehaven_gateway"),
            requests: Family::default(),
            durations: Family::new_with_constructor(duration_histogram),
            attempts: Family::default(),
            extra_attempts: Counter::default(),
            unaffordable_attempts: Counter::default(),
            quarantined_requests: Counter::default(),
            tokens_spent: Family::default(),
            tokens_refused: Family::default(),
            token_wait_seconds: token_wait_histogram(),
            unknown_key_requests: Counter::default(),
            open_requests: Gauge::default(),
            routes_version: Gauge::default(),
            listed_servers: Gauge::default(),
            control_connections: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests with a route, by target (service, gather) and outcome",
            self.requests.clone(),
        );
        registry.register(
            "request_duration_seconds",
            "Time from the head of a request to its response, in seconds",
            self.durations.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at servers, by how they ended",
            self.attempts.clone(),
        );
        registry.register(
            "extra_attempts",
            "Hedges and retries sent",
            self.extra_attempts.clone(),
        );
        registry.register(
            "unaffordable_attempts",
            "Hedges and retries not sent because the budget was exhausted",
            self.unaffordable_attempts.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests refused because they had crashed servers",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "tokens_spent",
            "Tokens of tenants' quotas spent, by source (stock, asked)",
            self.tokens_spent.clone(),
        );
        registry.register(
            "tokens_refused",
            "Requests refused because no token was acquired, by reason",
            self.tokens_refused.clone(),
        );
        registry.register(
            "token_wait_seconds",
            "Time that requests waited for a token, in seconds",
            self.token_wait_seconds.clone(),
        );
        registry.register(
            "unknown_key_requests",
            "Requests refused because their key was missing or belongs to no tenant",
            self.unknown_key_requests.clone(),
        );
        registry.register(
            "open_requests",
            "Requests in progress",
            self.open_requests.clone(),
        );
        registry.register(
            "routes_version",
            "Version of the routes in force; 0 for none",
            self.routes_version.clone(),
        );
        registry.register(
            "listed_servers",
            "Servers on the list in force",
            self.listed_servers.clone(),
        );
        registry.register(
            "control_connections",
            "Open connections to control replicas",
            self.control_connections.clone(),
        );
    }

    pub(crate) fn request_ended(&self, is_gather: bool, outcome: Outcome, seconds: f64) {
        let labels = RequestLabels {
            target: if is_gather { "gather" } else { "service" },
            outcome: match outcome {
                Outcome::Whole => "whole",
                Outcome::Partial => "partial",
                Outcome::ServerFailed => "server_failed",
                Outcome::Failed => "failed",
                Outcome::Refused => "refused",
            },
        };
        self.requests.get_or_create(&labels).inc();
        self.durations.get_or_create(&labels).observe(seconds);
    }

    pub(crate) fn attempt_ended(&self, ending: &'static str) {
        self.attempts.get_or_create(&AttemptLabels { ending }).inc();
    }

    pub(crate) fn tokens_spent(&self, from: &'static str) {
        self.tokens_spent.get_or_create(&TokenLabels { from }).inc();
    }

    pub(crate) fn tokens_refused(&self, reason: &'static str) {
        let labels = TokenRefusalLabels { reason };
        self.tokens_refused.get_or_create(&labels).inc();
    }

    /// Adds the use of a budget to the metrics.
    pub(crate) fn register_clients(&mut self, clients: &ClientBudget) {
        clients.register_metrics(&mut self.registry);
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Encoding into a `String` cannot fail. If it did, the page would be empty or cut short.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
