//! The gateways that are connected to this replica.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{
    AllowedRegions, ListedServer, ListingNumber, Placement, RouteDocument, ServerListing, ZoneName,
};
use sablehaven_wire::{ControlToGateway, DeploymentMembers, GatewayLoad, GatewayStatus};
use tokio::sync::watch;

use super::{
    encoded::{Encoded, EncodedListings, encode},
    entry::{HeardGateway, SubsetSizes, choose, named},
    subset::{NamingRank, ZoneLoad, naming_rank},
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
/// Time for which a gateway that has taken requests shares what servers bear, named or not: about as long
/// as it keeps its connections to them.
const SHARING_TIME: Duration = Duration::from_secs(10);

/// The connected gateways, and what they are to be told; cheap to share.
pub(crate) struct Gateways {
    started_at: Instant,
    sessions: Mutex<Sessions>,
    listing: watch::Sender<Arc<ServerListing>>,
    members: watch::Sender<MembersView>,
    /// The latest routes and listing as they go out, so that many connections share the work.
    encoded_routes: Mutex<Option<(u64, Encoded)>>,
    encoded_listings: Mutex<EncodedListings>,
}

/// Who takes part, as this replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct MembersView {
    controls: BTreeSet<SocketAddr>,
    /// Gateways by zone that share what servers bear.
    counts: BTreeMap<ZoneName, u32>,
    /// The same gateways by their addresses, as far as they are connected.
    sharers: BTreeSet<SocketAddr>,
}

impl MembersView {
    /// What the gateway at an address is told.
    pub(super) fn told_to(&self, gateway: SocketAddr) -> DeploymentMembers {
        DeploymentMembers {
            controls: self.controls.clone(),
            gateways: self.counts.clone(),
            is_sharer: self.sharers.contains(&gateway),
        }
    }
}

/// The gateways that share what servers bear.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct GatewaySharers {
    /// By zone; some of the counted ones may be about to become ready.
    pub(super) counts: BTreeMap<ZoneName, u32>,
    /// By address.
    pub(super) addresses: BTreeSet<SocketAddr>,
}

/// The sessions of gateways, and what each gateway has said last.
#[derive(Default)]
pub(super) struct Sessions {
    opened: u64,
    latest_opened: Option<Instant>,
    /// The address that each session's gateway has given.
    addresses: BTreeMap<u64, SocketAddr>,
    /// The latest report of each gateway.
    reports: BTreeMap<SocketAddr, GatewayReport>,
    counted_at: Option<Instant>,
    sizes: SubsetSizes,
}

/// The latest word of a gateway.
struct GatewayReport {
    session: u64,
    status: GatewayStatus,
    load: GatewayLoad,
    rank: NamingRank,
    heard_at: Instant,
    /// When it last served callers, by what it and the others of its zone said.
    served_at: Option<Instant>,
}

impl Sessions {
    /// Takes a report; one of a session that a later one of the same gateway has replaced is ignored.
    pub(super) fn take(&mut self, session: u64, status: GatewayStatus) {
        let now = Instant::now();
        let address = status.address;
        self.addresses.insert(session, address);
        let former = self.reports.get(&address);
        if former.is_some_and(|report| report.session > session) {
            return;
        }
        let served_at = former.and_then(|report| report.served_at);
        let load = former.map(|report| report.load);
        let report = GatewayReport {
            session,
            status,
            load: load.unwrap_or_default(),
            rank: naming_rank(address),
            heard_at: now,
            served_at,
        };
        self.reports.insert(address, report);
    }

    /// Takes a sign of life, with what the gateway has had to do.
    pub(super) fn take_load(&mut self, session: u64, load: GatewayLoad) {
        let address = self.addresses.get(&session);
        let report = address.and_then(|address| self.reports.get_mut(address));
        // A later session of the same gateway has replaced this one.
        let Some(report) = report.filter(|report| report.session == session) else {
            return;
        };
        report.load = load;
        report.heard_at = Instant::now();
    }

    /// Forgets a session that has ended, and its gateway unless a later session has replaced it.
    pub(super) fn remove(&mut self, session: u64) {
        let Some(address) = self.addresses.remove(&session) else {
            return;
        };
        if self.reports.get(&address).map(|report| report.session) == Some(session) {
            self.reports.remove(&address);
        }
    }

    /// Every connected gateway, by address.
    pub(super) fn heard(&self) -> Vec<HeardGateway<'_>> {
        let reports = self.reports.values();
        let heard = reports.map(|report| HeardGateway {
            status: &report.status,
            rank: report.rank,
            silent_for: report.heard_at.elapsed(),
        });
        heard.collect()
    }

    /// Sets the size of each zone's subset by what its gateways have to do, and notes which of them serve.
    pub(super) fn resize(&mut self, now: Instant) {
        let mut loads: BTreeMap<&ZoneName, ZoneLoad> = BTreeMap::new();
        for report in self.reports.values() {
            let zone = &report.status.placement.zone;
            loads.entry(zone).or_default().add(report.load);
        }
        let mut least_attempts: BTreeMap<ZoneName, u32> = BTreeMap::new();
        for (zone, load) in loads {
            let size = self.sizes.entry(zone.clone()).or_default();
            let former = size.size();
            let least = load.least_attempts(former);
            least_attempts.insert(zone.clone(), least);
            size.observe(now, load.traffic(least));
            if size.size() != former {
                log::info!(event = "gateway_subset", zone:% = zone, size = size.size(), former = former;
                    "gateways that callers are told of");
            }
        }
        for report in self.reports.values_mut() {
            let least = least_attempts.get(&report.status.placement.zone);
            if least.is_some_and(|least| report.load.attempts >= *least) {
                report.served_at = Some(now);
            }
        }
    }

    /// The gateways that share what servers bear: those that are named, and those that still take requests.
    pub(super) fn sharers(&self, now: Instant) -> GatewaySharers {
        let named = named(&self.heard(), &self.sizes);
        let named: BTreeSet<SocketAddr> = named.iter().map(|each| each.status.address).collect();
        let serves = |report: &GatewayReport| {
            let since = report.served_at.map(|at| now.saturating_duration_since(at));
            since.is_some_and(|since| since < SHARING_TIME)
        };
        let mut connected: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut sharing: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut addresses = BTreeSet::new();
        for report in self.reports.values() {
            let zone = &report.status.placement.zone;
            *connected.entry(zone).or_default() += 1;
            let shares = named.contains(&report.status.address) || serves(report);
            if shares {
                *sharing.entry(zone).or_default() += 1;
                addresses.insert(report.status.address);
            }
        }
        let count = |(zone, connected): (&ZoneName, usize)| {
            let size = self.sizes.get(zone).copied().unwrap_or_default();
            let least = size.size().min(connected);
            let sharing = sharing.get(zone).copied().unwrap_or(0);
            let count = u32::try_from(sharing.max(least)).unwrap_or(u32::MAX);
            (zone.clone(), count)
        };
        GatewaySharers {
            counts: connected.into_iter().map(count).collect(),
            addresses,
        }
    }
}

impl Gateways {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            sessions: Mutex::default(),
            listing: watch::channel(Arc::default()).0,
            members: watch::channel(MembersView::default()).0,
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
    pub(crate) fn entry(&self, caller: &Placement, allowed: &AllowedRegions) -> Vec<SocketAddr> {
        let sessions = self.lock();
        choose(&sessions.heard(), &sessions.sizes, caller, allowed)
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
    pub(crate) fn take_reading(&self, term: u64, servers: Vec<ListedServer>) {
        self.listing.send_if_modified(|held| {
            let mut number = held.number;
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
            let former = std::mem::replace(held, Arc::new(ServerListing { number, servers }));
            self.encoded_listings
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .remember(former);
            true
        });
    }

    /// The term of the latest reading.
    pub(crate) fn reading_term(&self) -> u64 {
        self.listing.borrow().number.term
    }

    pub(super) fn listing(&self) -> watch::Receiver<Arc<ServerListing>> {
        self.listing.subscribe()
    }

    pub(super) fn members(&self) -> watch::Receiver<MembersView> {
        self.members.subscribe()
    }

    pub(super) fn encode_routes(&self, routes: &Arc<RouteDocument>) -> Option<Encoded> {
        let mut cached = self
            .encoded_routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((version, encoded)) = &*cached
            && *version == routes.version
        {
            return Some(Arc::clone(encoded));
        }
        let encoded = encode(&ControlToGateway::Routes(Arc::clone(routes)))?;
        *cached = Some((routes.version, Arc::clone(&encoded)));
        Some(encoded)
    }

    /// The listing as it goes to a gateway that has the reading `held`: what has changed since, or all of it
    /// where this replica does not know that reading.
    pub(super) fn encode_listing(
        &self,
        listing: &Arc<ServerListing>,
        held: ListingNumber,
    ) -> Option<Encoded> {
        self.encoded_listings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .encode(listing, held)
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
