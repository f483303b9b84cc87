//! Metrics of a relay.

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use sablehaven_telemetry::Telemetry;

/// Metrics of a relay. Clones share the values.
#[derive(Clone, Debug, Default)]
pub struct RelayMetrics {
    /// Connected agents.
    pub agents: Gauge,
    /// Revision of the state held by the relay.
    pub revision: Gauge,
    /// Version of the configuration held by the relay.
    pub configuration_version: Gauge,
    /// Updates applied from control.
    pub control_updates: Counter,
    /// Updates encoded for agents. Other updates reused the same encoded bytes.
    pub encoded_updates: Counter,
    /// Updates sent to agents.
    pub sent_updates: Counter,
    /// Full updates sent to agents.
    pub sent_full_updates: Counter,
    /// Proofs from control that the leader is current.
    pub proofs: Counter,
    /// Leases granted to agents.
    pub leases: Counter,
    /// Attempts to connect to a control replica.
    pub control_connections: Counter,
    /// Connections to control replicas that ended with an error.
    pub control_errors: Counter,
    /// Agent connections that ended with an error.
    pub agent_errors: Counter,
    /// Agents rejected because too many are connected.
    pub agents_refused: Counter,
    /// Hints broadcast to agents. A hint counts once, however many agents receive it.
    pub hints: Counter,
    /// Ledger calls received from agents.
    pub ledger_calls: Counter,
    /// Messages with ledger calls sent to control.
    pub ledger_batches: Counter,
    /// Ledger calls that were rejected or got no answer.
    pub ledger_unavailable: Counter,
    /// Bytes sent to agents, including the length prefixes of frames.
    pub agent_sent_bytes: Counter,
    /// Bytes received from agents, including the length prefixes of frames.
    pub agent_received_bytes: Counter,
    /// Bytes sent to control, including the length prefixes of frames.
    pub control_sent_bytes: Counter,
    /// Bytes received from control, including the length prefixes of frames.
    pub control_received_bytes: Counter,
}

impl RelayMetrics {
    /// Registers the metrics with the metrics endpoint of the process.
    pub fn register(&self, telemetry: &Telemetry) {
        let gauges = [
            ("agents", "Connected agents", &self.agents),
            ("revision", "Revision of the state held", &self.revision),
            (
                "configuration_version",
                "Version of the configuration held",
                &self.configuration_version,
            ),
        ];
        let counters = [
            (
                "control_updates",
                "Updates applied from control",
                &self.control_updates,
            ),
            (
                "encoded_updates",
                "Updates encoded for agents",
                &self.encoded_updates,
            ),
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
                "Attempts to connect to a control replica",
                &self.control_connections,
            ),
            (
                "control_errors",
                "Connections to control replicas that ended with an error",
                &self.control_errors,
            ),
            (
                "agent_errors",
                "Agent connections that ended with an error",
                &self.agent_errors,
            ),
            (
                "agents_refused",
                "Agents rejected because too many are connected",
                &self.agents_refused,
            ),
            ("hints", "Hints broadcast to agents", &self.hints),
            (
                "ledger_calls",
                "Ledger calls received from agents",
                &self.ledger_calls,
            ),
            (
                "ledger_batches",
                "Messages with ledger calls sent to control",
                &self.ledger_batches,
            ),
            (
                "ledger_unavailable",
                "Ledger calls that were rejected or got no answer",
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
