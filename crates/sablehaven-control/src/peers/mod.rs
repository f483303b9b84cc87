//! Connections between control replicas.
//!
//! Each replica opens a connection to every other one and sends its messages on it. Messages that arrive on accepted
//! connections are passed to the driver and to the other components that handle them. On every connection both sides
//! first exchange introductions.

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
pub(crate) use links::{Links, maintain_links};
pub(crate) use listing::PeerListing;
pub(crate) use payload::{PartAnswer, PartProbe, PeerPayload};
