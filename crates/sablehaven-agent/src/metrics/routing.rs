//! What the routers do, by service.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};
use sablehaven_routing::{RouterCounters, RouterState};
use sablehaven_types::ServiceName;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

type ServiceGauge = Family<ServiceLabel, Gauge<f64, AtomicU64>>;

/// Gauges of the routers; cheap to clone. Counts are shown as gauges because the routers own them.
#[derive(Clone, Debug, Default)]
pub struct RoutingMetrics {
    needed: ServiceGauge,
    extra: ServiceGauge,
    extra_refused: ServiceGauge,
    refused: ServiceGauge,
    budget_factor: ServiceGauge,
    admission_limit: ServiceGauge,
    remote_share: ServiceGauge,
    ejected: ServiceGauge,
}

impl RoutingMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("routing");
        let mut register_gauge = |name: &str, help: &str, gauge: &ServiceGauge| {
            registry.register(name, help, gauge.clone());
        };
        register_gauge(
            "needed",
            "Sub-requests that admitted requests need",
            &self.needed,
        );
        register_gauge("extra", "Hedges and retries beyond them", &self.extra);
        register_gauge(
            "extra_refused",
            "Hedges and retries that the budget refused",
            &self.extra_refused,
        );
        register_gauge("refused", "Requests refused by admission", &self.refused);
        register_gauge(
            "budget_factor",
            "Part of the extra load budget that sheds have left, 0 to 1",
            &self.budget_factor,
        );
        register_gauge(
            "admission_limit",
            "Limit on needed sub-requests per second, 0 without one",
            &self.admission_limit,
        );
        register_gauge(
            "remote_share",
            "Share of work that spills to other regions, 0 to 1",
            &self.remote_share,
        );
        register_gauge(
            "ejected",
            "Back ends taken out for not answering",
            &self.ejected,
        );
    }

    /// Shows one service's router as it is now.
    pub fn update(&self, service: &ServiceName, counters: RouterCounters, state: RouterState) {
        let label = ServiceLabel {
            service: service.0.clone(),
        };
        let set = |gauge: &ServiceGauge, value: f64| {
            gauge.get_or_create(&label).set(value);
        };
        set(&self.needed, counters.needed as f64);
        set(&self.extra, (counters.hedges + counters.retries) as f64);
        set(&self.extra_refused, counters.extra_refused as f64);
        set(&self.refused, counters.refused as f64);
        set(&self.budget_factor, state.budget_factor);
        set(&self.admission_limit, state.admission_limit.unwrap_or(0.0));
        set(&self.remote_share, state.remote_share);
        set(&self.ejected, f64::from(state.ejected));
    }
}
