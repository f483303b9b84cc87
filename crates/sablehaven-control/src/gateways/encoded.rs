//! Listings and routes for gateways, encoded once and sent on many connections.

use std::{collections::VecDeque, sync::Arc};

use sablehaven_types::{
    ListingChange, ListingNumber, ListingUpdate, RouteDocument, RoutesChange, ServerListing,
};
use sablehaven_wire::{ControlToGateway, EncodedMessage};

/// Maximum number of former listings that are kept as bases of changes. Every new listing is sent to the gateways
/// immediately, so nearly all of them have the previous one; the others serve gateways that were slow to receive it.
const MAXIMUM_FORMER_LISTINGS: usize = 4;
/// Maximum number of former versions of the routes that are kept, for the same reason; each may take some megabytes.
const MAXIMUM_FORMER_ROUTES: usize = 4;

/// An encoded message; clones share its bytes.
pub(super) type Encoded = Arc<EncodedMessage<ControlToGateway>>;

/// Encodes a message; logs the error and returns `None` on failure.
pub(super) fn encode(message: &ControlToGateway) -> Option<Encoded> {
    match EncodedMessage::new(message) {
        Ok(encoded) => Some(Arc::new(encoded)),
        Err(error) => {
            log::error!("encoding a message to gateways failed: {error}");
            None
        }
    }
}

/// Encoded messages that bring a gateway to the version `number`, keyed by the version on which they are based. The
/// base `None` is the complete state, for gateways with any other version or with none.
#[derive(Default)]
struct MessagesByBase<Number> {
    number: Number,
    messages: Vec<(Option<Number>, Encoded)>,
}

impl<Number: Copy + PartialEq> MessagesByBase<Number> {
    /// Returns the message from `base` to `number`, which is encoded on first use.
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

/// Encoded messages with the latest listing, by the listing that the receiver holds.
#[derive(Default)]
pub(super) struct EncodedListings {
    /// Former listings of this replica, oldest first.
    former: VecDeque<Arc<ServerListing>>,
    messages: MessagesByBase<ListingNumber>,
}

impl EncodedListings {
    /// Keeps a listing that has been replaced as a base for changes.
    pub(super) fn retain_former(&mut self, former: Arc<ServerListing>) {
        self.former.push_back(former);
        if self.former.len() > MAXIMUM_FORMER_LISTINGS {
            self.former.pop_front();
        }
    }

    /// Returns the message that brings a gateway from the listing numbered `held` to `listing`.
    pub(super) fn encode(
        &mut self,
        listing: &Arc<ServerListing>,
        held: ListingNumber,
    ) -> Option<Encoded> {
        let base = self.find_former(held).cloned();
        let from = base.as_ref().map(|base| base.number);
        let message = || match update_between(base.as_ref(), listing) {
            ListingUpdate::Whole(listing) => ControlToGateway::Listing(listing),
            ListingUpdate::Change(change) => ControlToGateway::ListingChange(change),
        };
        self.messages.find_or_encode(listing.number, from, message)
    }

    /// Returns the update that brings a receiver from the listing numbered `held` to `listing`.
    pub(super) fn update(
        &self,
        listing: &Arc<ServerListing>,
        held: ListingNumber,
    ) -> ListingUpdate {
        update_between(self.find_former(held), listing)
    }

    /// Finds the former listing with the number `held`. The default number means that the receiver has no listing yet;
    /// it must be sent the complete listing, so that it knows that it has one.
    fn find_former(&self, held: ListingNumber) -> Option<&Arc<ServerListing>> {
        let has_none = held == ListingNumber::default();
        let mut former = self.former.iter();
        former.find(|former| !has_none && former.number == held)
    }
}

fn update_between(
    base: Option<&Arc<ServerListing>>,
    listing: &Arc<ServerListing>,
) -> ListingUpdate {
    match base {
        Some(base) => ListingUpdate::Change(ListingChange::between(base, listing)),
        None => ListingUpdate::Whole(Arc::clone(listing)),
    }
}

/// Encoded messages with the latest routes, by the version that the gateway holds.
#[derive(Default)]
pub(super) struct EncodedRoutes {
    latest: Option<Arc<RouteDocument>>,
    /// Former versions, oldest first.
    former: VecDeque<Arc<RouteDocument>>,
    messages: MessagesByBase<u64>,
}

impl EncodedRoutes {
    /// Sets the version in force, unless it is not newer than the known one. The replaced version is kept for a while
    /// as a base for changes, since gateways still hold it.
    pub(super) fn set_latest(&mut self, document: &Arc<RouteDocument>) {
        let latest = self.latest.as_ref().map(|latest| latest.version);
        if latest.is_some_and(|latest| latest >= document.version) {
            return;
        }
        self.former
            .extend(self.latest.replace(Arc::clone(document)));
        if self.former.len() > MAXIMUM_FORMER_ROUTES {
            self.former.pop_front();
        }
    }

    /// Returns the message that brings a gateway from the version `held` to the one in force; `None` if the gateway has
    /// it.
    pub(super) fn encode(&mut self, held: u64) -> Option<Encoded> {
        let latest = self.latest.as_ref()?;
        if latest.version <= held {
            return None;
        }
        // Version 0 means that the gateway has no routes yet; no kept version can be its base.
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
