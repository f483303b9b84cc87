//! Tests of the gateway between a caller, a stand-in control replica and stand-in servers.

mod answer_margin;
mod cold;
mod crashes;
mod evacuations;
mod gathers;
mod once;
mod refusals;
mod regions;
mod replies;
mod servers;
mod stops;
mod support;
mod tenant_keys;
mod tenants;
