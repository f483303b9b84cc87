//! Distribution of the platform's server listing between replicas. The leader sends each listing to the other replicas,
//! so that every gateway can get it from a replica near it, and so that the next leader continues from it.

use std::sync::Arc;

use sablehaven_types::{ListingNumber, ListingUpdate, ServerListing};
use tokio::sync::watch;

use crate::{driver::PublishedState, gateways::Gateways};

/// Access to this replica's listing for the connections with other replicas.
pub(crate) struct PeerListing {
    pub(crate) gateways: Arc<Gateways>,
    pub(crate) published: watch::Receiver<PublishedState>,
}

impl PeerListing {
    /// The number of the latest listing that this replica has.
    pub(super) fn listing_number(&self) -> ListingNumber {
        self.gateways.listing_number()
    }

    /// A receiver that is notified of each new listing.
    pub(super) fn changes(&self) -> watch::Receiver<Arc<ServerListing>> {
        self.gateways.listing()
    }

    /// Returns the update that brings another replica from the listing numbered `held` to the latest one, and the
    /// number of the latest one. Returns `None` if the other replica has the latest listing, or if this one does not
    /// lead: only the leader sends listings, since the other replicas have received theirs from a leader.
    pub(super) fn update_from(
        &self,
        held: ListingNumber,
    ) -> Option<(ListingNumber, ListingUpdate)> {
        if !self.published.borrow().is_leader() {
            return None;
        }
        self.gateways.listing_update(held)
    }

    /// Applies an update from a leader. Returns false if it is a change to a listing that this replica does not have.
    pub(super) fn apply(&self, update: ListingUpdate) -> bool {
        self.gateways.apply_listing_update(update)
    }
}
