//! Connections between control replicas.
//!
//! Each replica dials every other one and sends on the connections that it dialled; what arrives on
//! the connections that it accepted goes to the driver. Both sides introduce themselves first.

mod formation;
mod incoming;
mod introduction;
mod link;
mod links;
mod listing;
mod payload;

pub(crate) use formation::form_or_join;
pub(crate) use incoming::receive_from_peer;
pub(crate) use introduction::{Directory, Introduction, PeerContext, probe};
pub(crate) use links::{Links, keep_links};
pub(crate) use listing::PeerListing;
pub(crate) use payload::{PartAnswer, PartProbe, PeerPayload};
