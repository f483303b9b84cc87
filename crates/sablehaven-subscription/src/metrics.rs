//! Metrics of a subscription.

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use sablehaven_telemetry::Telemetry;

/// Metrics of a subscription. Clones share their values.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionMetrics {
    /// Updates applied.
    pub updates: Counter,
    /// Full updates applied.
    pub full_updates: Counter,
    /// Updates based on another revision than the agent's, after which the agent requested a new one.
    pub gaps: Counter,
    /// Updates rejected because they would revert to an older configuration.
    pub reverts_refused: Counter,
    /// Lease renewals.
    pub lease_renewals: Counter,
    /// Activations of a session with a relay, including the first one.
    pub relay_changes: Counter,
    /// Sessions that ended with an error.
    pub session_errors: Counter,
    /// Hints applied, including those from this agent's own observations.
    pub hints: Counter,
    /// Ledger calls.
    pub ledger_calls: Counter,
    /// Ledger calls that ended without an answer.
    pub ledger_unavailable: Counter,
    /// Bytes received from relays, including the length headers of frames.
    pub received_bytes: Counter,
    /// Bytes sent to relays, including the length headers of frames.
    pub sent_bytes: Counter,
    /// The revision in force.
    pub revision: Gauge,
    /// The configuration version in force.
    pub configuration_version: Gauge,
}

impl SubscriptionMetrics {
    /// Registers the metrics with the metrics endpoint of the process.
    pub fn register(&self, telemetry: &Telemetry) {
        telemetry.register(|registry| {
            let registry = registry.sub_registry_with_prefix("subscription");
            let mut counter = |name: &str, help: &str, counter: &Counter| {
                registry.register(name, help, counter.clone());
            };
            counter("updates", "Updates applied", &self.updates);
            counter("full_updates", "Full updates applied", &self.full_updates);
            counter(
                "gaps",
                "Updates based on another revision than the agent's",
                &self.gaps,
            );
            counter(
                "reverts_refused",
                "Updates rejected because they would revert to an older configuration",
                &self.reverts_refused,
            );
            counter("lease_renewals", "Lease renewals", &self.lease_renewals);
            counter(
                "relay_changes",
                "Activations of a session with a relay",
                &self.relay_changes,
            );
            counter(
                "session_errors",
                "Sessions that ended with an error",
                &self.session_errors,
            );
            counter("hints", "Hints that back ends are draining", &self.hints);
            counter("ledger_calls", "Ledger calls", &self.ledger_calls);
            counter(
                "ledger_unavailable",
                "Ledger calls that ended without an answer",
                &self.ledger_unavailable,
            );
            counter(
                "received_bytes",
                "Bytes received from relays",
                &self.received_bytes,
            );
            counter("sent_bytes", "Bytes sent to relays", &self.sent_bytes);
            registry.register("revision", "Revision in force", self.revision.clone());
            registry.register(
                "configuration_version",
                "Configuration version in force",
                self.configuration_version.clone(),
            );
        });
    }
}
