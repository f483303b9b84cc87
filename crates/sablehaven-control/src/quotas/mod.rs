//! Tenants' quotas: what this replica grants to gateways of its part, and what replicas lend each other.

mod grants;
mod lease;
mod lease_renewal;
mod loans;
mod parts;
mod probes;
mod replica_quotas;
mod waiting;

pub(crate) use grants::PartGrants;
pub(crate) use lease::{LeaseLimits, PartLease, ProbeNumber};
pub(crate) use lease_renewal::{answer_probe, handle_probe_answer, renew_part_lease};
pub(crate) use loans::{LoanHandler, request_loans};
pub(crate) use probes::ProbeQueue;
pub(crate) use replica_quotas::{ReplicaQuotas, follow_published_state};
pub(crate) use waiting::ReplySender;
