//! The gateways that are connected to this replica, and the state that is distributed to them.

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

/// Minimum time after the start that gateways are given to connect. Until it is over many may be missing, and callers
/// that were sent only a few addresses would all go to those gateways.
const MINIMUM_SETTLING_TIME: Duration = Duration::from_millis(600);
/// Time without a new gateway connection after which all gateways are assumed to have connected.
const QUIET_PERIOD: Duration = Duration::from_millis(350);
/// Maximum time after the start until the connected gateways are assumed to be all.
const MAXIMUM_SETTLING_TIME: Duration = Duration::from_secs(3);
/// Minimum time between two counts of the gateways: a count visits all of them, and hundreds report twice a second.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// The connected gateways, and the listing, members and crash reports that they are sent. All methods take `&self`, so
/// it is shared behind an [`Arc`].
pub(crate) struct Gateways {
    started_at: Instant,
    sessions: Mutex<Sessions>,
    listing: watch::Sender<Arc<ServerListing>>,
    members: watch::Sender<MembersView>,
    /// Requests that crashed the servers that executed them.
    pub(super) crash_reports: CrashReportStore,
    /// The latest routes and listing in encoded form, so that each message is encoded once for many connections.
    encoded_routes: Mutex<EncodedRoutes>,
    encoded_listings: Mutex<EncodedListings>,
}

impl Gateways {
    /// Creates the state without any gateway. `listing` is the listing that this replica had before its restart, or the
    /// default one.
    pub(crate) fn new(listing: ServerListing) -> Self {
        Self {
            started_at: Instant::now(),
            sessions: Mutex::default(),
            listing: watch::channel(Arc::new(listing)).0,
            members: watch::channel(MembersView::default()).0,
            crash_reports: CrashReportStore::new(),
            encoded_routes: Mutex::default(),
            encoded_listings: Mutex::default(),
        }
    }

    /// Whether gateways have had time to connect since this replica started; see [`has_settled`].
    pub(crate) fn is_settled(&self) -> bool {
        let last_opened_at = self.lock().last_opened_at;
        let since_start = self.started_at.elapsed();
        has_settled(since_start, last_opened_at.map(|at| at.elapsed()))
    }

    /// Starts the session of a gateway connection and returns its number.
    pub(super) fn open_session(&self) -> u64 {
        let mut sessions = self.lock();
        sessions.opened_count += 1;
        sessions.last_opened_at = Some(Instant::now());
        sessions.opened_count
    }

    /// Records a gateway's status.
    pub(super) fn record_status(&self, session: u64, status: GatewayStatus) {
        self.lock().record_status(session, status);
        self.count_gateways();
    }

    /// Records the load in a gateway's keep-alive message.
    pub(super) fn record_load(&self, session: u64, load: GatewayLoad) {
        self.lock().record_load(session, load);
        self.count_gateways();
    }

    /// Removes the session of a gateway connection that has ended.
    pub(super) fn close_session(&self, session: u64) {
        self.lock().remove(session);
        self.count_gateways();
    }

    /// Returns the addresses of the gateways that a caller at a placement should use: those of the nearest scope that
    /// has any, where `allowed` are the regions that may serve its request.
    pub(crate) fn resolve(&self, caller: &Placement, allowed: &AllowedRegions) -> Vec<SocketAddr> {
        let sessions = self.lock();
        let advertised =
            AdvertisedGateways::new(&sessions.order, &sessions.subset_sizes, Instant::now());
        advertised.nearest(caller, allowed)
    }

    /// Updates the subset sizes and the members, at most once per interval. Gateways divide the capacity of the servers
    /// by the number of sharers, so nothing is counted before the gateways have had time to connect: too low a count
    /// would make each gateway use too much.
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
        sessions.update_subset_sizes(now);
        let sharers = sessions.sharers(now);
        drop(sessions);
        self.members.send_if_modified(|members| {
            let is_changed =
                members.counts != sharers.counts || members.sharers != sharers.addresses;
            members.counts = sharers.counts;
            members.sharers = sharers.addresses;
            is_changed
        });
    }

    /// Sets the addresses of the control replicas.
    pub(crate) fn set_controls(&self, controls: BTreeSet<SocketAddr>) {
        self.members.send_if_modified(|members| {
            let is_changed = members.controls != controls;
            members.controls = controls;
            is_changed
        });
    }

    /// Applies the server list that the leader of `term` has read from the platform. A list without changes keeps the
    /// number of the former one, so that it is not sent again.
    pub(crate) fn apply_read_listing(&self, term: u64, servers: Vec<ListedServer>) {
        let servers = ServerListing::latest_starts(servers);
        self.listing.send_if_modified(|held| {
            let mut number = held.number;
            // A listing of a later leader has arrived meanwhile.
            if term < number.term {
                return false;
            }
            if number.term == term && !has_changes(&held.servers, &servers) {
                // Whether a server has become cold again is detected by comparison with the latest list.
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

    /// Applies a listing sent by the leader, so that gateways near this replica get it from here, and so that the next
    /// leader continues from it. Returns `false` if it is a change to a listing that this replica does not have.
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

    /// Returns the update that brings another replica from the listing numbered `held` to the latest one, and the
    /// number of the latter; `None` if the replica has it already.
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

    /// Replaces the latest listing, and keeps the former one as a base for changes, since gateways may still have it.
    fn replace(&self, held: &mut Arc<ServerListing>, next: Arc<ServerListing>) {
        let former = std::mem::replace(held, next);
        self.encoded_listings().retain_former(former);
    }

    /// Returns the number of the latest listing.
    pub(crate) fn listing_number(&self) -> ListingNumber {
        self.listing.borrow().number
    }

    /// Returns the term of the latest listing.
    pub(crate) fn listing_term(&self) -> u64 {
        self.listing.borrow().number.term
    }

    /// Returns a receiver for the latest listing.
    pub(crate) fn listing(&self) -> watch::Receiver<Arc<ServerListing>> {
        self.listing.subscribe()
    }

    /// Returns a receiver for the members of the deployment.
    pub(super) fn members(&self) -> watch::Receiver<MembersView> {
        self.members.subscribe()
    }

    /// Sets the routes in force, so that later ones can be sent as changes to them.
    pub(super) fn set_latest_routes(&self, routes: &Arc<RouteDocument>) {
        self.encoded_routes().set_latest(routes);
    }

    /// Encodes the routes in force for a gateway that has the version `held`: as a change, or completely if this
    /// replica does not have that version. Returns `None` if the gateway has them already.
    pub(super) fn encode_routes(&self, held: u64) -> Option<Encoded> {
        self.encoded_routes().encode(held)
    }

    fn encoded_routes(&self) -> MutexGuard<'_, EncodedRoutes> {
        self.encoded_routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Encodes the listing for a gateway that has the listing numbered `held`: as a change, or completely if this
    /// replica does not have that listing.
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

/// Whether gateways have had time to connect: after the maximum settling time, or after the minimum one if no gateway
/// has connected for the quiet period.
pub(super) fn has_settled(since_start: Duration, since_last_opened: Option<Duration>) -> bool {
    let is_quiet = since_last_opened.is_some_and(|since| since >= QUIET_PERIOD);
    since_start >= MAXIMUM_SETTLING_TIME || (since_start >= MINIMUM_SETTLING_TIME && is_quiet)
}

/// Whether a list of servers differs from the former one in a way that gateways must know.
fn has_changes(former: &[ListedServer], next: &[ListedServer]) -> bool {
    let mut pairs = former.iter().zip(next);
    former.len() != next.len() || pairs.any(|(former, next)| next.is_update_to(former))
}
