//! Tests of the gateway with a caller and test doubles of a control replica and of servers.

mod answer_margin;
mod cold;
mod crashes;
mod evacuations;
mod gathers;
mod memory;
mod once;
mod refusals;
mod regions;
mod replies;
mod servers;
mod slow_callers;
mod stops;
mod support;
mod tenant_keys;
mod tenants;
