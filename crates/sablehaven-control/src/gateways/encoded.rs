//! Messages to gateways that are encoded once and sent on many connections.

use std::{collections::VecDeque, sync::Arc};

use sablehaven_types::{ListingChange, ListingNumber, ListingUpdate, ServerListing};
use sablehaven_wire::{ControlToGateway, EncodedMessage};

/// Former readings of the list that are kept. Gateways are sent each new one at once, so nearly all have the
/// one before it; a few more are for those that were slow to take it.
const KEPT_READINGS: usize = 4;

/// An encoded message; clones share the bytes.
pub(super) type Encoded = Arc<EncodedMessage<ControlToGateway>>;

/// Encodes a message; `None`, with a line in the log, if that cannot be done.
pub(super) fn encode(message: &ControlToGateway) -> Option<Encoded> {
    match EncodedMessage::new(message) {
        Ok(encoded) => Some(Arc::new(encoded)),
        Err(error) => {
            log::error!("encode message to gateways: {error}");
            None
        }
    }
}

/// The latest listing as it goes to gateways, by the reading that they have.
#[derive(Default)]
pub(super) struct EncodedListings {
    /// Former readings of this replica, the oldest first.
    former: VecDeque<Arc<ServerListing>>,
    /// The reading that `messages` lead to.
    number: ListingNumber,
    /// Messages by the reading from which they lead; `None` is the whole listing.
    messages: Vec<(Option<ListingNumber>, Encoded)>,
}

impl EncodedListings {
    /// Keeps a reading that is no longer the latest.
    pub(super) fn remember(&mut self, former: Arc<ServerListing>) {
        self.former.push_back(former);
        if self.former.len() > KEPT_READINGS {
            self.former.pop_front();
        }
    }

    /// The message that brings a gateway from the reading `held` to `listing`.
    pub(super) fn encode(
        &mut self,
        listing: &Arc<ServerListing>,
        held: ListingNumber,
    ) -> Option<Encoded> {
        if self.number != listing.number {
            self.number = listing.number;
            self.messages.clear();
        }
        let base = self.known(held);
        let key = base.map(|base| base.number);
        let mut messages = self.messages.iter();
        if let Some((_, message)) = messages.find(|(from, _)| *from == key) {
            return Some(Arc::clone(message));
        }
        let message = match update(base, listing) {
            ListingUpdate::Whole(listing) => ControlToGateway::Listing(listing),
            ListingUpdate::Change(change) => ControlToGateway::ListingChange(change),
        };
        let encoded = encode(&message)?;
        self.messages.push((key, Arc::clone(&encoded)));
        Some(encoded)
    }

    /// What brings a receiver from the reading `held` to `listing`.
    pub(super) fn update(
        &self,
        listing: &Arc<ServerListing>,
        held: ListingNumber,
    ) -> ListingUpdate {
        update(self.known(held), listing)
    }

    /// The former reading of this number. Before its first reading a receiver must be told all, so that it knows
    /// that it has one.
    fn known(&self, held: ListingNumber) -> Option<&Arc<ServerListing>> {
        let is_first = held == ListingNumber::default();
        let mut former = self.former.iter();
        former.find(|former| !is_first && former.number == held)
    }
}

fn update(base: Option<&Arc<ServerListing>>, listing: &Arc<ServerListing>) -> ListingUpdate {
    match base {
        Some(base) => ListingUpdate::Change(ListingChange::between(base, listing)),
        None => ListingUpdate::Whole(Arc::clone(listing)),
    }
}
