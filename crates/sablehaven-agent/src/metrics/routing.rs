//! Metrics of the routers, by service.

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

/// Gauges of the routers. Cheap to clone. Counts are exported as gauges because the counters
/// themselves are kept by the routers.
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
            "Sub-requests needed by admitted requests, without hedges and retries",
            &self.needed,
        );
        register_gauge(
            "extra",
            "Hedges and retries sent in addition to the needed sub-requests",
            &self.extra,
        );
        register_gauge(
            "extra_refused",
            "Hedges and retries refused for lack of budget",
            &self.extra_refused,
        );
        register_gauge(
            "refused",
            "Requests refused by admission control",
            &self.refused,
        );
        register_gauge(
            "budget_factor",
            "Factor by which load shedding lowers the hedge and retry budget, 1 without shedding, at least 0",
            &self.budget_factor,
        );
        register_gauge(
            "admission_limit",
            "Admission limit on needed sub-requests per second, 0 if unlimited",
            &self.admission_limit,
        );
        register_gauge(
            "remote_share",
            "Fraction of load sent to other regions, 0 to 1",
            &self.remote_share,
        );
        register_gauge(
            "ejected",
            "Back ends ejected for not answering, or suspected",
            &self.ejected,
        );
    }

    /// Sets the gauges of one service to the current values of its router.
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
