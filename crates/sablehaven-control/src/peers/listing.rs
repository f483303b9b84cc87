//! The platform's list of servers between replicas: the leader sends its readings to the others, so that each gateway
//! has a replica near it that has the list, and so that the next leader goes on from the same reading.

use std::sync::Arc;

use sablehaven_types::{ListingNumber, ListingUpdate, ServerListing};
use tokio::sync::watch;

use crate::{driver::PublishedState, gateways::Gateways};

/// A replica's reading of the list, as the connections between replicas need it.
pub(crate) struct PeerListing {
    pub(crate) gateways: Arc<Gateways>,
    pub(crate) published: watch::Receiver<PublishedState>,
}

impl PeerListing {
    /// The latest reading that this replica has.
    pub(super) fn number(&self) -> ListingNumber {
        self.gateways.listing_number()
    }

    /// Changes with each reading.
    pub(super) fn changes(&self) -> watch::Receiver<Arc<ServerListing>> {
        self.gateways.listing()
    }

    /// What is to be sent to a replica that has the reading `held`, with the reading that it leads to. Only the leader
    /// sends: what the others have came from it.
    pub(super) fn update_from(
        &self,
        held: ListingNumber,
    ) -> Option<(ListingNumber, ListingUpdate)> {
        if !self.published.borrow().is_leader() {
            return None;
        }
        self.gateways.listing_update(held)
    }

    /// Takes what a leader has sent; `false` where it changes a reading that this replica does not have.
    pub(super) fn take(&self, update: ListingUpdate) -> bool {
        self.gateways.apply_listing_update(update)
    }
}
