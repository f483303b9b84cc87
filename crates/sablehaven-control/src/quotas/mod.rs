//! Tenants' quotas: tokens that this replica grants to gateways, and loans of tokens between replicas.
//!
//! Each control replica holds one of several equal parts of every tenant's token bucket. It may spend its part only while
//! it has a lease on it, so that the parts that replicas spend at the same time never add up to more than the quota.

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
