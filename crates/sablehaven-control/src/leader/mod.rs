//! Background tasks of group 0's leader: reading the platform's lists, proposing agents' observations and the number of
//! agents per service, and repairing the group's members. Each task runs on every replica and acts only while it leads.

mod listing;
mod observations;
mod platform;
mod rejected_entries;
mod repair;
mod silence;
mod watchers;

pub(crate) use listing::read_listing;
pub use listing::{ListReading, RejectedEntry, ServerListFuture, ServerSource, ServerSourceError};
pub(crate) use observations::{OBSERVATION_QUEUE_LENGTH, propose_observations};
pub(crate) use platform::poll_platform;
pub(crate) use repair::watch_members;
#[cfg(test)]
pub(crate) use silence::{LeadershipProof, SilenceTracker};
pub(crate) use watchers::propose_watchers;
