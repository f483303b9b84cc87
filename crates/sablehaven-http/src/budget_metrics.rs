//! The metrics of a budget, in the registry of its process.

use std::fmt::{Debug, Error, Formatter};

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

use crate::ClientBudget;

/// Reads the metrics when they are encoded.
struct BudgetCollector(ClientBudget);

impl ClientBudget {
    /// Registers the use of this budget and its limits, with names that start with `client_`.
    pub fn register_metrics(&self, registry: &mut Registry) {
        registry.register_collector(Box::new(BudgetCollector(self.clone())));
    }
}

impl Collector for BudgetCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), Error> {
        let usage = self.0.usage();
        let limits = self.0.limits();
        let gauges = [
            (
                "client_connections",
                "Open connections of clients",
                usage.connections,
            ),
            (
                "client_connections_limit",
                "Limit of the connections of clients by descriptors",
                limits.max_connections,
            ),
            (
                "client_body_bytes",
                "Bytes of bodies that are held for clients",
                usage.body_bytes,
            ),
            (
                "client_body_bytes_limit",
                "Limit of the bytes of bodies",
                limits.body_bytes,
            ),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX));
            gauge.encode(encoder.encode_descriptor(name, help, None, gauge.metric_type())?)?;
        }
        let counters = [
            (
                "client_connections_closed",
                "Connections of clients that were closed to make room for others",
                usage.closed_connections,
            ),
            (
                "client_connections_refused",
                "Connections of clients that were refused for lack of room",
                usage.refused_connections,
            ),
            (
                "client_bodies_refused",
                "Bodies of requests and replies that were not read for lack of memory",
                usage.refused_bodies,
            ),
        ];
        for (name, help, value) in counters {
            let counter = ConstCounter::new(value);
            counter.encode(encoder.encode_descriptor(
                name,
                help,
                None,
                counter.metric_type(),
            )?)?;
        }
        Ok(())
    }
}

impl Debug for BudgetCollector {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result<(), Error> {
        self.0.usage().fmt(formatter)
    }
}
