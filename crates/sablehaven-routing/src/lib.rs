//! Routing decisions without sockets or clocks: subsets, balancing, hedging, budgets and spill.
//!
//! One [`ServiceRouter`] decides for one service in one agent. It is a pure state machine: the
//! caller passes the time in, reports each attempt with [`ServiceRouter::sent`] and
//! [`ServiceRouter::finished`], and asks for decisions. The order of calls for one request is
//! [`ServiceRouter::admit`]; for each shard [`ServiceRouter::choose`] and, where that gives nothing,
//! [`ServiceRouter::no_choice_reason`]; [`ServiceRouter::sent`] when the attempt goes out, and
//! [`ServiceRouter::hedge_after`] for its timer. A hedge or retry is chosen with the tried back ends
//! excluded, and only then asks [`ServiceRouter::take_extra`], so that the budget pays only for
//! attempts that go out. Every attempt that was sent is reported exactly once with
//! [`ServiceRouter::finished`], cancelled ones too, or its back end looks busy for ever.

pub mod admission;
mod backend;
pub mod balance;
pub mod budget;
mod choice;
pub mod crash_table;
pub mod health;
pub mod hedging;
mod interface;
pub mod latency;
mod plan;
pub mod pressure;
pub mod probe;
pub mod retry_after;
mod router;
mod service_state;
pub mod slow_start;
pub mod spill;
pub mod subset;

pub use interface::{
    Admission, AgentLocation, AttemptOutcome, AttemptResult, ChosenBackend, ExtraAttemptKind,
    LoadReport, RouterCounters, RouterState, ServiceUpdate,
};
pub use router::ServiceRouter;
