//! Counters of a subscription.

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use sablehaven_telemetry::Telemetry;

/// Counters of a subscription; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionMetrics {
    /// Updates applied.
    pub updates: Counter,
    /// Full updates applied.
    pub full_updates: Counter,
    /// Updates that did not fit, after which the agent asked again.
    pub gaps: Counter,
    /// Updates refused because they would go back to an older configuration.
    pub reverts_refused: Counter,
    /// Lease renewals.
    pub lease_renewals: Counter,
    /// Changes of the relay.
    pub relay_changes: Counter,
    /// Sessions that ended with an error.
    pub session_errors: Counter,
    /// Hints taken from other agents.
    pub hints: Counter,
    /// Ledger calls.
    pub ledger_calls: Counter,
    /// Ledger calls without an answer.
    pub ledger_unavailable: Counter,
    /// Bytes received from relays, frames' lengths included.
    pub received_bytes: Counter,
    /// Bytes sent to relays, frames' lengths included.
    pub sent_bytes: Counter,
    /// The revision in force.
    pub revision: Gauge,
    /// The version of the configuration in force.
    pub configuration_version: Gauge,
}

impl SubscriptionMetrics {
    /// Shows the metrics on the process's metrics page.
    pub fn register(&self, telemetry: &Telemetry) {
        telemetry.register(|registry| {
            let registry = registry.sub_registry_with_prefix("subscription");
            let mut counter = |name: &str, help: &str, counter: &Counter| {
                registry.register(name, help, counter.clone());
            };
            counter("updates", "Updates applied", &self.updates);
            counter("full_updates", "Full updates applied", &self.full_updates);
            counter("gaps", "Updates that did not fit", &self.gaps);
            counter(
                "reverts_refused",
                "Updates refused because they would go back",
                &self.reverts_refused,
            );
            counter("lease_renewals", "Lease renewals", &self.lease_renewals);
            counter("relay_changes", "Changes of the relay", &self.relay_changes);
            counter(
                "session_errors",
                "Sessions that ended with an error",
                &self.session_errors,
            );
            counter("hints", "Hints taken from other agents", &self.hints);
            counter("ledger_calls", "Ledger calls", &self.ledger_calls);
            counter(
                "ledger_unavailable",
                "Ledger calls without an answer",
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
                "Version of the configuration in force",
                self.configuration_version.clone(),
            );
        });
    }
}
