//! Tenants' quotas: what this replica grants to gateways of its part, and what replicas lend each other.

mod desk;
mod loans;
mod parts;
mod waiting;

pub(crate) use desk::{QuotaDesk, follow_configuration};
pub(crate) use loans::{LoanCounter, ask_for_loans};
pub(crate) use waiting::ReplySender;
