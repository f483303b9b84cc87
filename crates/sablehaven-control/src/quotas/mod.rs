//! Tenants' quotas: what this replica grants to gateways of its part, and what replicas lend each other.

mod grants;
mod hold;
mod keeper;
mod loans;
mod parts;
mod probes;
mod replica_quotas;
mod waiting;

pub(crate) use grants::PartGrants;
pub(crate) use hold::{HoldLimits, PartHold, ProbeNumber};
pub(crate) use keeper::{answer_probe, keep_part, take_answer};
pub(crate) use loans::{LoanHandler, ask_for_loans};
pub(crate) use probes::ProbeQueue;
pub(crate) use replica_quotas::{ReplicaQuotas, follow_configuration};
pub(crate) use waiting::ReplySender;
