//! Routing decisions without sockets or clocks: subsets, load balancing, hedging, budgets and spill
//! to other zones and regions.
//!
//! A [`ServiceRouter`] decides for one service in one agent. It is a pure state machine: the caller
//! passes in the time, reports each attempt with [`ServiceRouter::sent`] and
//! [`ServiceRouter::finished`], and requests decisions. The calls for one request are, in order:
//!
//! - [`ServiceRouter::admit`];
//! - for each shard, [`ServiceRouter::choose`] and, if that returns nothing,
//!   [`ServiceRouter::no_choice_reason`];
//! - when the attempt is sent, [`ServiceRouter::sent`], and [`ServiceRouter::hedge_after`] for its
//!   timer.
//!
//! To hedge or retry, the caller first calls [`ServiceRouter::choose`] with the tried back ends
//! excluded and then [`ServiceRouter::take_extra`], so that the budget is charged only for attempts
//! that are sent. Every attempt that was sent must be reported exactly once with
//! [`ServiceRouter::finished`], even if it was cancelled; otherwise its back end looks busy
//! forever.

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
