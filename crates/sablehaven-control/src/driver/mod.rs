//! The task that drives every consensus group of this replica: inputs in, messages, writes and
//! applied commands out, one sync for the writes of all groups.

mod group;
mod input;
mod machine;
mod members;
mod pending;
mod publish;
mod reads;
mod removal;
mod restore;
mod run;
mod snapshots;
mod status;
mod storage_thread;
mod stored_addresses;
mod writes;

pub(crate) use input::{DriverHandle, Input, LeadershipProof, LedgerReplies, channel};
pub use input::{LeadershipTransferError, ProposeError};
pub(crate) use machine::{SharedStateHandle, read};
#[cfg(test)]
pub(crate) use removal::RemovalMonitor;
pub(crate) use run::{Driver, DriverParts};
pub(crate) use status::{DriverStatus, GroupState, PublishedState};
pub(crate) use stored_addresses::StoredAddresses;
