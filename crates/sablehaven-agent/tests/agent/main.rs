//! Tests of the agent over loopback, with a real agent and subscription, scripted back ends, and a
//! scripted relay with a ledger.

mod admission;
mod coverage_rules;
mod crashes;
mod http_interface;
mod leaving;
mod once;
mod once_outcomes;
mod once_rules;
mod queries;
mod replies;
mod reply_rules;
mod rollover;
mod settings;
mod stopping;
mod sub_request_rules;
mod support;
