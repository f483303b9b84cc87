//! The task that drives every consensus group of this replica. It passes inputs to the groups, then sends their
//! messages, writes their logs and applies their committed commands. One sync covers the pending writes of all groups.

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
