//! Metrics of the agent.

mod routing;

use std::time::Duration;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{Coverage, MissingReason, Outcome};

pub use routing::RoutingMetrics;

use crate::transport::{DiscardReason, Refusal};

/// Upper bound of the first bucket of the latency histogram, in seconds.
const FIRST_LATENCY_BUCKET_SECONDS: f64 = 0.001;

/// Number of buckets of the latency histogram. Each upper bound is twice the previous one, up to
/// 32 s.
const LATENCY_BUCKET_COUNT: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// The kind of a request, used as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Sent to every shard.
    Query,
    /// Sent to one shard; may be retried.
    Lookup,
    /// Sent to one shard at most once.
    Once,
    /// Refused before its method was known.
    Unrecognised,
}

impl RequestKind {
    fn label(self) -> &'static str {
        match self {
            Self::Query => "query",
            Self::Lookup => "lookup",
            Self::Once => "once",
            Self::Unrecognised => "unrecognised",
        }
    }
}

/// Counters, gauges and histograms of one agent. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Family<RequestLabels, Counter>,
    latency: Family<KindLabel, Histogram, fn() -> Histogram>,
    /// Attempts sent to back ends.
    pub sub_requests: Counter,
    /// Attempts that were hedges.
    pub hedges: Counter,
    /// Attempts that were retries.
    pub retries: Counter,
    /// Query restarts on another snapshot.
    pub restarts: Counter,
    refusals: Family<ReasonLabel, Counter>,
    discarded: Family<ReasonLabel, Counter>,
    missing: Family<ReasonLabel, Counter>,
    ledger: Family<KindLabel, Counter>,
    /// Outcomes and releases that could not be recorded in the ledger.
    pub unrecorded_outcomes: Counter,
    /// Version of the agent's current configuration.
    pub configuration_version: Gauge,
    /// 1 while the agent holds a configuration lease, else 0.
    pub lease_current: Gauge,
    /// State of the routers by service.
    pub routing: RoutingMetrics,
    /// Configurations whose schema could not be parsed.
    pub unusable_configurations: Counter,
}

impl Metrics {
    /// Creates the metrics and registers them with the telemetry of the process.
    pub fn new(telemetry: &Telemetry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            sub_requests: Counter::default(),
            hedges: Counter::default(),
            retries: Counter::default(),
            restarts: Counter::default(),
            refusals: Family::default(),
            discarded: Family::default(),
            missing: Family::default(),
            ledger: Family::default(),
            unrecorded_outcomes: Counter::default(),
            configuration_version: Gauge::default(),
            lease_current: Gauge::default(),
            unusable_configurations: Counter::default(),
            routing: RoutingMetrics::default(),
        };
        telemetry.register(|registry| metrics.register(registry));
        telemetry.register(|registry| metrics.routing.register(registry));
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("agent");
        registry.register(
            "requests",
            "Requests from callers, by kind and outcome",
            self.requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from the arrival of a request to its answer",
            self.latency.clone(),
        );
        registry.register(
            "sub_requests",
            "Attempts sent to back ends, including hedges and retries",
            self.sub_requests.clone(),
        );
        registry.register("hedges", "Hedges sent", self.hedges.clone());
        registry.register("retries", "Retries sent", self.retries.clone());
        registry.register(
            "query_restarts",
            "Query restarts on another snapshot",
            self.restarts.clone(),
        );
        registry.register(
            "refusals",
            "Attempts that back ends refused before starting them, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "discarded_replies",
            "Discarded replies, by reason",
            self.discarded.clone(),
        );
        registry.register(
            "missing_shards",
            "Shards missing from answers, by reason",
            self.missing.clone(),
        );
        registry.register(
            "ledger_calls",
            "Calls to the request ledger, by kind",
            self.ledger.clone(),
        );
        registry.register(
            "unrecorded_outcomes",
            "Outcomes and releases that could not be recorded in the ledger",
            self.unrecorded_outcomes.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the current configuration",
            self.configuration_version.clone(),
        );
        registry.register(
            "lease_current",
            "1 while the agent holds a configuration lease, else 0",
            self.lease_current.clone(),
        );
        registry.register(
            "unusable_configurations",
            "Configurations whose schema could not be parsed",
            self.unusable_configurations.clone(),
        );
    }

    /// Counts an answered request and records its latency.
    pub fn record_answer(&self, kind: RequestKind, outcome: Outcome, latency: Duration) {
        let outcome = match outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        };
        let kind = kind.label();
        let labels = RequestLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
        let histogram = self.latency.get_or_create(&KindLabel { kind });
        histogram.observe(latency.as_secs_f64());
    }

    /// Counts a refusal by a back end.
    pub fn record_refusal(&self, refusal: Refusal) {
        let reason = match refusal {
            Refusal::Shed => "shed",
            Refusal::Draining => "draining",
            Refusal::SnapshotGone => "snapshot",
            Refusal::Deadline => "deadline",
        };
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a discarded reply.
    pub fn record_discarded_reply(&self, reason: DiscardReason) {
        let reason = reason.label();
        self.discarded.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts the shards missing from an answer.
    pub fn record_missing_shards(&self, coverage: &Coverage) {
        for entry in &coverage.missing {
            let reason = missing_reason_label(entry.reason);
            self.missing.get_or_create(&ReasonLabel { reason }).inc();
        }
    }

    /// Counts a call to the ledger.
    pub fn record_ledger_call(&self, kind: &'static str) {
        self.ledger.get_or_create(&KindLabel { kind }).inc();
    }
}

fn latency_histogram() -> Histogram {
    let buckets = exponential_buckets(FIRST_LATENCY_BUCKET_SECONDS, 2.0, LATENCY_BUCKET_COUNT);
    Histogram::new(buckets)
}

fn missing_reason_label(reason: MissingReason) -> &'static str {
    match reason {
        MissingReason::Deadline => "deadline",
        MissingReason::NoReplica => "no_replica",
        MissingReason::Shed => "shed",
        MissingReason::Failed => "failed",
        MissingReason::SnapshotGone => "snapshot_gone",
        MissingReason::BadReply => "bad_reply",
    }
}
