//! Messages to gateways that are encoded once and sent on many connections.

use std::{collections::VecDeque, sync::Arc};

use sablehaven_types::{
    ListingChange, ListingNumber, ListingUpdate, RouteDocument, RoutesChange, ServerListing,
};
use sablehaven_wire::{ControlToGateway, EncodedMessage};

/// Former readings of the list that are kept. Gateways are sent each new one at once, so nearly all have the
/// one before it; a few more are for those that were slow to take it.
const KEPT_READINGS: usize = 4;
/// Former versions of the routes that are kept, for the same reason; each may take some megabytes.
const KEPT_VERSIONS: usize = 4;

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

/// Messages that lead to one number, by the number from which they lead; `None` is for whoever has any other.
#[derive(Default)]
struct MessagesByBase<Number> {
    number: Number,
    messages: Vec<(Option<Number>, Encoded)>,
}

impl<Number: Copy + PartialEq> MessagesByBase<Number> {
    /// The message from `base` to `number`, encoded once.
    fn find_or_encode(
        &mut self,
        number: Number,
        base: Option<Number>,
        message: impl FnOnce() -> ControlToGateway,
    ) -> Option<Encoded> {
        if self.number != number {
            self.number = number;
            self.messages.clear();
        }
        let mut messages = self.messages.iter();
        if let Some((_, message)) = messages.find(|(from, _)| *from == base) {
            return Some(Arc::clone(message));
        }
        let encoded = encode(&message())?;
        self.messages.push((base, Arc::clone(&encoded)));
        Some(encoded)
    }
}

/// The latest listing as it goes to gateways, by the reading that they have.
#[derive(Default)]
pub(super) struct EncodedListings {
    /// Former readings of this replica, the oldest first.
    former: VecDeque<Arc<ServerListing>>,
    messages: MessagesByBase<ListingNumber>,
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
        let base = self.known(held).cloned();
        let from = base.as_ref().map(|base| base.number);
        let message = || match update(base.as_ref(), listing) {
            ListingUpdate::Whole(listing) => ControlToGateway::Listing(listing),
            ListingUpdate::Change(change) => ControlToGateway::ListingChange(change),
        };
        self.messages.find_or_encode(listing.number, from, message)
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

/// The latest routes as they go to gateways, by the version that they have.
#[derive(Default)]
pub(super) struct EncodedRoutes {
    latest: Option<Arc<RouteDocument>>,
    /// Versions that were in force before, the oldest first.
    former: VecDeque<Arc<RouteDocument>>,
    messages: MessagesByBase<u64>,
}

impl EncodedRoutes {
    /// Takes the version in force; the one before it is kept for a while, since gateways still have it.
    pub(super) fn take(&mut self, document: &Arc<RouteDocument>) {
        let latest = self.latest.as_ref().map(|latest| latest.version);
        if latest.is_some_and(|latest| latest >= document.version) {
            return;
        }
        self.former
            .extend(self.latest.replace(Arc::clone(document)));
        if self.former.len() > KEPT_VERSIONS {
            self.former.pop_front();
        }
    }

    /// The message that brings a gateway from the version `held` to the one in force.
    pub(super) fn encode(&mut self, held: u64) -> Option<Encoded> {
        let latest = self.latest.as_ref()?;
        if latest.version <= held {
            return None;
        }
        // Before its first version a gateway has 0, which is none that was ever kept.
        let mut former = self.former.iter();
        let base = former.find(|former| held > 0 && former.version == held);
        let from = base.map(|base| base.version);
        let message = || match base {
            Some(base) => ControlToGateway::RoutesChange(RoutesChange::between(base, latest)),
            None => ControlToGateway::Routes(Arc::clone(latest)),
        };
        self.messages.find_or_encode(latest.version, from, message)
    }
}

#[cfg(test)]
mod tests;
