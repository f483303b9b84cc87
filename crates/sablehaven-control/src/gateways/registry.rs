//! The gateways that are connected to this replica.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{
    AllowedRegions, ListedServer, ListingNumber, ListingUpdate, Placement, RouteDocument,
    ServerListing,
};
use sablehaven_wire::{GatewayLoad, GatewayStatus};
use tokio::sync::watch;

use super::{
    advertised::AdvertisedGateways,
    crash_reports::CrashReportStore,
    encoded::{Encoded, EncodedListings, EncodedRoutes},
    members_view::MembersView,
    sessions::Sessions,
};

/// Least time after the start in which gateways connect; before its end the picture is not whole, and
/// callers that were told of a few gateways would all go there.
const LEAST_SETTLING: Duration = Duration::from_millis(600);
/// Time without a new gateway after which all have connected.
const QUIET_TIME: Duration = Duration::from_millis(350);
/// Longest time until what is there is taken for whole.
const LONGEST_SETTLING: Duration = Duration::from_secs(3);
/// Time between two counts of the gateways: each looks at all of them, and hundreds report twice a second.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// The connected gateways, and what they are to be told; cheap to share.
pub(crate) struct Gateways {
    started_at: Instant,
    sessions: Mutex<Sessions>,
    listing: watch::Sender<Arc<ServerListing>>,
    members: watch::Sender<MembersView>,
    /// Requests under which servers ended.
    pub(super) crashes: CrashReportStore,
    /// The latest routes and listing as they go out, so that many connections share the work.
    encoded_routes: Mutex<EncodedRoutes>,
    encoded_listings: Mutex<EncodedListings>,
}

impl Gateways {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            sessions: Mutex::default(),
            listing: watch::channel(Arc::default()).0,
            members: watch::channel(MembersView::default()).0,
            crashes: CrashReportStore::new(),
            encoded_routes: Mutex::default(),
            encoded_listings: Mutex::default(),
        }
    }

    /// Whether gateways have had the time to connect since this replica started.
    pub(crate) fn is_settled(&self) -> bool {
        let latest = self.lock().latest_opened;
        let since_start = self.started_at.elapsed();
        has_settled(since_start, latest.map(|latest| latest.elapsed()))
    }

    pub(super) fn open(&self) -> u64 {
        let mut sessions = self.lock();
        sessions.opened += 1;
        sessions.latest_opened = Some(Instant::now());
        sessions.opened
    }

    /// Takes a gateway's status.
    pub(super) fn report(&self, session: u64, status: GatewayStatus) {
        self.lock().take(session, status);
        self.count_gateways();
    }

    /// Takes a gateway's sign of life.
    pub(super) fn report_load(&self, session: u64, load: GatewayLoad) {
        self.lock().take_load(session, load);
        self.count_gateways();
    }

    /// A gateway's connection has ended.
    pub(super) fn close(&self, session: u64) {
        self.lock().remove(session);
        self.count_gateways();
    }

    /// Where a caller of a place is to go: near gateways first, then those of the regions that may serve
    /// what it asks for.
    pub(crate) fn resolve(&self, caller: &Placement, allowed: &AllowedRegions) -> Vec<SocketAddr> {
        let sessions = self.lock();
        let named = AdvertisedGateways::new(&sessions.order, &sessions.sizes, Instant::now());
        named.near(caller, allowed)
    }

    /// Gateways share what servers bear by their number, so a picture that is not whole yet would make
    /// each of them take too much.
    fn count_gateways(&self) {
        if !self.is_settled() {
            return;
        }
        let now = Instant::now();
        let mut sessions = self.lock();
        let counted_at = sessions.counted_at;
        if counted_at.is_some_and(|at| now.saturating_duration_since(at) < COUNT_INTERVAL) {
            return;
        }
        sessions.counted_at = Some(now);
        sessions.resize(now);
        let sharers = sessions.sharers(now);
        drop(sessions);
        self.members.send_if_modified(|members| {
            let is_new = members.counts != sharers.counts || members.sharers != sharers.addresses;
            members.counts = sharers.counts;
            members.sharers = sharers.addresses;
            is_new
        });
    }

    /// Takes the addresses of the control replicas.
    pub(crate) fn set_controls(&self, controls: BTreeSet<SocketAddr>) {
        self.members.send_if_modified(|members| {
            let is_new = members.controls != controls;
            members.controls = controls;
            is_new
        });
    }

    /// Takes a reading of the platform's list; one that says nothing new keeps its number, so that
    /// it is not sent again.
    pub(crate) fn apply_read_listing(&self, term: u64, servers: Vec<ListedServer>) {
        let servers = ServerListing::latest_starts(servers);
        self.listing.send_if_modified(|held| {
            let mut number = held.number;
            // A later leader's reading has come meanwhile.
            if term < number.term {
                return false;
            }
            if number.term == term && !is_news(&held.servers, &servers) {
                // Whether a server turns cold anew is told from the latest reading.
                *held = Arc::new(ServerListing { number, servers });
                return false;
            }
            number.reading = if number.term == term {
                number.reading + 1
            } else {
                1
            };
            number.term = term;
            self.replace(held, Arc::new(ServerListing { number, servers }));
            true
        });
    }

    /// Takes a reading of the leader, so that gateways near this replica have it from here, and that the next leader
    /// goes on from it. `false` where it changes a reading that this replica does not have.
    pub(crate) fn apply_listing_update(&self, update: ListingUpdate) -> bool {
        let mut is_known = true;
        self.listing.send_if_modified(|held| {
            let next = match update {
                ListingUpdate::Whole(listing) => Some(listing),
                ListingUpdate::Change(change) if change.number <= held.number => return false,
                ListingUpdate::Change(change) => change.apply(held).map(Arc::new),
            };
            is_known = next.is_some();
            let newer = next.filter(|next| next.number > held.number);
            let is_newer = newer.is_some();
            if let Some(newer) = newer {
                self.replace(held, newer);
            }
            is_newer
        });
        is_known
    }

    /// What brings another replica from the reading `held` to the latest; `None` where it has that.
    pub(crate) fn listing_update(
        &self,
        held: ListingNumber,
    ) -> Option<(ListingNumber, ListingUpdate)> {
        let listing = Arc::clone(&self.listing.borrow());
        (listing.number > held).then(|| {
            let update = self.encoded_listings().update(&listing, held);
            (listing.number, update)
        })
    }

    /// Puts a reading in the place of the latest one, which gateways may still have.
    fn replace(&self, held: &mut Arc<ServerListing>, next: Arc<ServerListing>) {
        let former = std::mem::replace(held, next);
        self.encoded_listings().remember(former);
    }

    /// The number of the latest reading.
    pub(crate) fn listing_number(&self) -> ListingNumber {
        self.listing.borrow().number
    }

    /// The term of the latest reading.
    pub(crate) fn listing_term(&self) -> u64 {
        self.listing.borrow().number.term
    }

    pub(crate) fn listing(&self) -> watch::Receiver<Arc<ServerListing>> {
        self.listing.subscribe()
    }

    pub(super) fn members(&self) -> watch::Receiver<MembersView> {
        self.members.subscribe()
    }

    /// Takes the routes in force, so that later ones go out as what differs from them.
    pub(super) fn take_routes(&self, routes: &Arc<RouteDocument>) {
        self.encoded_routes().take(routes);
    }

    /// The routes in force as they go to a gateway that has the version `held`: what has changed since, or all of them
    /// where this replica does not know that version. `None` where the gateway has them.
    pub(super) fn encode_routes(&self, held: u64) -> Option<Encoded> {
        self.encoded_routes().encode(held)
    }

    fn encoded_routes(&self) -> MutexGuard<'_, EncodedRoutes> {
        self.encoded_routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The listing as it goes to a gateway that has the reading `held`: what has changed since, or all of it
    /// where this replica does not know that reading.
    pub(super) fn encode_listing(
        &self,
        listing: &Arc<ServerListing>,
        held: ListingNumber,
    ) -> Option<Encoded> {
        self.encoded_listings().encode(listing, held)
    }

    fn encoded_listings(&self) -> MutexGuard<'_, EncodedListings> {
        self.encoded_listings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether gateways have had the time to connect, and no new one has come for a while.
pub(super) fn has_settled(since_start: Duration, since_latest: Option<Duration>) -> bool {
    let is_quiet = since_latest.is_some_and(|since| since >= QUIET_TIME);
    since_start >= LONGEST_SETTLING || (since_start >= LEAST_SETTLING && is_quiet)
}

/// Whether a reading says something that the former one did not.
fn is_news(former: &[ListedServer], next: &[ListedServer]) -> bool {
    let mut pairs = former.iter().zip(next);
    former.len() != next.len() || pairs.any(|(former, next)| next.is_news_after(former))
}
