//! Counters of a relay.

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use sablehaven_telemetry::Telemetry;

/// Counters of a relay; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct RelayMetrics {
    /// Agents connected.
    pub agents: Gauge,
    /// The revision held.
    pub revision: Gauge,
    /// The version of the configuration held.
    pub configuration_version: Gauge,
    /// Updates taken from control.
    pub control_updates: Counter,
    /// Updates encoded for agents; the others were sent from the same bytes.
    pub encoded_updates: Counter,
    /// Updates sent to agents.
    pub sent_updates: Counter,
    /// Full updates sent to agents.
    pub sent_full_updates: Counter,
    /// Proofs taken from control that its leader is current.
    pub proofs: Counter,
    /// Leases granted to agents.
    pub leases: Counter,
    /// Connections to control replicas.
    pub control_connections: Counter,
    /// Connections to control replicas that ended with an error.
    pub control_errors: Counter,
    /// Agents' connections that ended with an error.
    pub agent_errors: Counter,
    /// Agents turned away because too many are connected.
    pub agents_refused: Counter,
    /// Hints passed on to agents.
    pub hints: Counter,
    /// Ledger calls taken from agents.
    pub ledger_calls: Counter,
    /// Messages with ledger calls sent to control.
    pub ledger_batches: Counter,
    /// Ledger calls refused or without an answer.
    pub ledger_unavailable: Counter,
    /// Bytes sent to agents, frames' lengths included.
    pub agent_sent_bytes: Counter,
    /// Bytes received from agents, frames' lengths included.
    pub agent_received_bytes: Counter,
    /// Bytes sent to control, frames' lengths included.
    pub control_sent_bytes: Counter,
    /// Bytes received from control, frames' lengths included.
    pub control_received_bytes: Counter,
}

impl RelayMetrics {
    /// Shows the metrics on the process's metrics page.
    pub fn register(&self, telemetry: &Telemetry) {
        let gauges = [
            ("agents", "Agents connected", &self.agents),
            ("revision", "Revision held", &self.revision),
            (
                "configuration_version",
                "Version of the configuration held",
                &self.configuration_version,
            ),
        ];
        let counters = [
            (
                "control_updates",
                "Updates from control",
                &self.control_updates,
            ),
            ("encoded_updates", "Updates encoded", &self.encoded_updates),
            ("sent_updates", "Updates sent to agents", &self.sent_updates),
            (
                "sent_full_updates",
                "Full updates sent to agents",
                &self.sent_full_updates,
            ),
            ("proofs", "Proofs that the leader is current", &self.proofs),
            ("leases", "Leases granted to agents", &self.leases),
            (
                "control_connections",
                "Connections to control replicas",
                &self.control_connections,
            ),
            (
                "control_errors",
                "Connections to control replicas that failed",
                &self.control_errors,
            ),
            (
                "agent_errors",
                "Agents' connections that failed",
                &self.agent_errors,
            ),
            ("agents_refused", "Agents turned away", &self.agents_refused),
            ("hints", "Hints passed on to agents", &self.hints),
            (
                "ledger_calls",
                "Ledger calls from agents",
                &self.ledger_calls,
            ),
            (
                "ledger_batches",
                "Messages with ledger calls to control",
                &self.ledger_batches,
            ),
            (
                "ledger_unavailable",
                "Ledger calls refused or without an answer",
                &self.ledger_unavailable,
            ),
            (
                "agent_sent_bytes",
                "Bytes sent to agents",
                &self.agent_sent_bytes,
            ),
            (
                "agent_received_bytes",
                "Bytes received from agents",
                &self.agent_received_bytes,
            ),
            (
                "control_sent_bytes",
                "Bytes sent to control",
                &self.control_sent_bytes,
            ),
            (
                "control_received_bytes",
                "Bytes received from control",
                &self.control_received_bytes,
            ),
        ];
        telemetry.register(|registry| {
            let registry = registry.sub_registry_with_prefix("relay");
            for (name, help, gauge) in gauges {
                registry.register(name, help, gauge.clone());
            }
            for (name, help, counter) in counters {
                registry.register(name, help, counter.clone());
            }
        });
    }
}
