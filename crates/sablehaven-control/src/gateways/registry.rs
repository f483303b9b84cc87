//! The gateways that are connected to this replica.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{ListedServer, RouteDocument, ServerListing, ZoneName};
use sablehaven_wire::{ControlToGateway, DeploymentMembers, EncodedMessage, GatewayStatus};
use tokio::sync::watch;

use super::entry::HeardGateway;

/// Least time after the start in which gateways connect; before its end the picture is not whole, and
/// callers that were told of a few gateways would all go there.
const LEAST_SETTLING: Duration = Duration::from_millis(600);
/// Time without a new gateway after which all have connected.
const QUIET_TIME: Duration = Duration::from_millis(350);
/// Longest time until what is there is taken for whole.
const LONGEST_SETTLING: Duration = Duration::from_secs(3);

type Encoded = Arc<EncodedMessage<ControlToGateway>>;

/// The connected gateways, and what they are to be told; cheap to share.
pub(crate) struct Gateways {
    started_at: Instant,
    sessions: Mutex<Sessions>,
    listing: watch::Sender<Arc<ServerListing>>,
    members: watch::Sender<DeploymentMembers>,
    /// The latest routes and listing as they go out, so that many connections share the work.
    encoded_routes: Mutex<Option<(u64, Encoded)>>,
    encoded_listing: Mutex<Option<(Arc<ServerListing>, Encoded)>>,
}

#[derive(Default)]
struct Sessions {
    opened: u64,
    latest_opened: Option<Instant>,
    reports: BTreeMap<u64, GatewayReport>,
}

/// The latest word of a gateway.
#[derive(Clone)]
struct GatewayReport {
    status: GatewayStatus,
    heard_at: Instant,
}

impl Gateways {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            sessions: Mutex::default(),
            listing: watch::channel(Arc::default()).0,
            members: watch::channel(DeploymentMembers::default()).0,
            encoded_routes: Mutex::default(),
            encoded_listing: Mutex::default(),
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

    pub(super) fn report(&self, session: u64, status: GatewayStatus) {
        let report = GatewayReport {
            status,
            heard_at: Instant::now(),
        };
        self.lock().reports.insert(session, report);
        self.refresh_gateways();
    }

    pub(super) fn close(&self, session: u64) {
        self.lock().reports.remove(&session);
        self.refresh_gateways();
    }

    /// The connected gateways, the latest session of each address.
    pub(crate) fn heard(&self) -> Vec<HeardGateway> {
        let sessions = self.lock();
        let mut by_address: BTreeMap<SocketAddr, HeardGateway> = BTreeMap::new();
        for report in sessions.reports.values() {
            let gateway = HeardGateway {
                status: report.status.clone(),
                silent_for: report.heard_at.elapsed(),
            };
            by_address.insert(report.status.address, gateway);
        }
        by_address.into_values().collect()
    }

    /// Gateways share what servers bear by their number, so a picture that is not whole yet would make
    /// each of them take too much.
    fn refresh_gateways(&self) {
        if !self.is_settled() {
            return;
        }
        let mut counts: BTreeMap<ZoneName, u32> = BTreeMap::new();
        for gateway in self.heard() {
            let zone = gateway.status.placement.zone;
            *counts.entry(zone).or_default() += 1;
        }
        self.members.send_if_modified(|members| {
            let is_new = members.gateways != counts;
            members.gateways = counts;
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
            let is_same = held.number.term == term && is_same_list(&held.servers, &servers);
            if is_same {
                return false;
            }
            let mut number = held.number;
            number.reading = if number.term == term {
                number.reading + 1
            } else {
                1
            };
            number.term = term;
            *held = Arc::new(ServerListing { number, servers });
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

    pub(super) fn members(&self) -> watch::Receiver<DeploymentMembers> {
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

    pub(super) fn encode_listing(&self, listing: &Arc<ServerListing>) -> Option<Encoded> {
        let mut cached = self
            .encoded_listing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((held, encoded)) = &*cached
            && Arc::ptr_eq(held, listing)
        {
            return Some(Arc::clone(encoded));
        }
        let encoded = encode(&ControlToGateway::Listing(Arc::clone(listing)))?;
        *cached = Some((Arc::clone(listing), Arc::clone(&encoded)));
        Some(encoded)
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

fn encode(message: &ControlToGateway) -> Option<Encoded> {
    match EncodedMessage::new(message) {
        Ok(encoded) => Some(Arc::new(encoded)),
        Err(error) => {
            log::error!("encode message to gateways: {error}");
            None
        }
    }
}

/// Whether two readings say the same; the time until a server is warm counts down by itself.
fn is_same_list(one: &[ListedServer], other: &[ListedServer]) -> bool {
    let same = |(one, other): (&ListedServer, &ListedServer)| {
        one.id == other.id
            && one.address == other.address
            && one.service == other.service
            && one.zone == other.zone
            && one.slots == other.slots
            && one.is_draining == other.is_draining
    };
    one.len() == other.len() && one.iter().zip(other).all(same)
}
