//! The metrics of a control replica.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use sablehaven_storage::StorageCounters;
use sablehaven_telemetry::Telemetry;
use sablehaven_types::Distance;

use crate::RejectedEntry;

/// The label of a metric that is counted by kind of event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    kind: &'static str,
}

/// The labels of a metric of the messages between this replica and gateways: the kind of message, and the distance to
/// the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GatewayMessageLabel {
    message: &'static str,
    distance: &'static str,
}

/// The numbers of rejected entries in the last reading of a list, by kind of error.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectedEntries(Family<KindLabel, Gauge>);

impl RejectedEntries {
    /// Replaces the numbers with those of a new reading.
    pub(crate) fn set(&self, rejected: &[RejectedEntry]) {
        self.0.clear();
        for entry in rejected {
            let kind = KindLabel { kind: entry.kind };
            self.0.get_or_create(&kind).inc();
        }
    }
}

/// The metrics of one replica; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    pub(crate) entries_applied: Counter,
    pub(crate) peer_messages_sent: Counter,
    pub(crate) peer_messages_dropped: Counter,
    pub(crate) leases_granted: Counter,
    pub(crate) leases_refused: Counter,
    pub(crate) ledger_calls: Counter,
    pub(crate) observations_dropped: Counter,
    pub(crate) relays: Gauge,
    pub(crate) agents: Gauge,
    pub(crate) leading: Gauge,
    pub(crate) revision: Gauge,
    pub(crate) tokens_granted: Counter,
    pub(crate) tokens_lent: Counter,
    pub(crate) tokens_borrowed: Counter,
    pub(crate) token_replies_dropped: Counter,
    tokens_refused: Family<KindLabel, Counter>,
    gateway_bytes: Family<GatewayMessageLabel, Counter>,
    errors: Family<KindLabel, Counter>,
    pub(crate) rejected_servers: RejectedEntries,
    pub(crate) rejected_machines: RejectedEntries,
    log_syncs: Gauge,
    log_bytes: Gauge,
    snapshots: Gauge,
}

impl Metrics {
    /// Registers the metrics under `control_`.
    pub(crate) fn register(telemetry: &Telemetry) -> Self {
        let metrics = Self::default();
        telemetry.register(|registry| metrics.add_to(registry));
        metrics
    }

    fn add_to(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("control");
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter(
            "entries_applied",
            "Log entries applied, all groups",
            &self.entries_applied,
        );
        counter(
            "peer_messages_sent",
            "Consensus messages queued on connections",
            &self.peer_messages_sent,
        );
        counter(
            "peer_messages_dropped",
            "Consensus messages dropped because no connection was up or its queue was full",
            &self.peer_messages_dropped,
        );
        counter(
            "leases_granted",
            "Proofs of leadership sent to relays",
            &self.leases_granted,
        );
        counter(
            "leases_refused",
            "Requests for a proof of leadership that this replica could not give",
            &self.leases_refused,
        );
        counter(
            "ledger_calls",
            "Ledger calls received from relays",
            &self.ledger_calls,
        );
        counter(
            "observations_dropped",
            "Agents' observations dropped because this replica does not lead or its queue was full",
            &self.observations_dropped,
        );
        counter(
            "tokens_granted",
            "Tokens of tenants' quotas granted to gateways",
            &self.tokens_granted,
        );
        counter(
            "tokens_lent",
            "Tokens lent to other replicas",
            &self.tokens_lent,
        );
        counter(
            "tokens_borrowed",
            "Tokens borrowed from other replicas",
            &self.tokens_borrowed,
        );
        counter(
            "token_replies_dropped",
            "Replies to token requests dropped because the gateway did not read them",
            &self.token_replies_dropped,
        );
        let help = "Token requests refused, by reason";
        registry.register("tokens_refused", help, self.tokens_refused.clone());
        let help = "Bytes sent to and received from gateways, by message and distance";
        registry.register("gateway_bytes", help, self.gateway_bytes.clone());
        let help = "Errors of the leader's periodic tasks, by kind";
        registry.register("errors", help, self.errors.clone());
        let help = "Rejected entries in the last reading of the list of servers, by kind of error";
        registry.register("rejected_servers", help, self.rejected_servers.0.clone());
        let help = "Rejected entries in the last reading of the list of machines, by kind of error";
        registry.register("rejected_machines", help, self.rejected_machines.0.clone());
        let mut gauge = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge("relays", "Connected relays", &self.relays);
        gauge("agents", "Agents that relays report", &self.agents);
        gauge(
            "leading",
            "1 while this replica leads group 0",
            &self.leading,
        );
        gauge("revision", "Revision of the shared state", &self.revision);
        gauge(
            "log_syncs",
            "Syncs of the log since the start",
            &self.log_syncs,
        );
        gauge(
            "log_bytes",
            "Bytes of the log since the start",
            &self.log_bytes,
        );
        gauge(
            "snapshots",
            "Snapshots stored since the start",
            &self.snapshots,
        );
    }

    /// Sets the gauges of the storage from its counters.
    pub(crate) fn set_storage(&self, counters: &StorageCounters) {
        self.log_syncs.set(counters.log_syncs as i64);
        self.log_bytes.set(counters.log_bytes as i64);
        self.snapshots.set(counters.snapshots as i64);
    }

    /// Counts bytes of a message to or from a gateway.
    pub(crate) fn gateway_bytes(&self, message: &'static str, distance: Distance, bytes: u64) {
        let label = GatewayMessageLabel {
            message,
            distance: distance.name(),
        };
        self.gateway_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Counts a refused token request.
    pub(crate) fn tokens_refused(&self, kind: &'static str) {
        self.tokens_refused.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts an error of one of the leader's periodic tasks.
    pub(crate) fn error(&self, kind: &'static str) {
        self.errors.get_or_create(&KindLabel { kind }).inc();
    }
}
