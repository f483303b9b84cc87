//! One incarnation of a server, that is, one start of its process.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_types::{BackendId, Distance, ListedServer, RegionName, ZoneName};

use super::{
    choice::Candidate,
    cold_turns::{ColdLimit, ColdTurns},
    connection_pool::ConnectionPool,
    health::ServerHealth,
};
use crate::serving_regions::ServingRegions;

/// One incarnation of a server, with what the listing and the gateway's own attempts tell about it.
pub(crate) struct Server {
    pub(crate) id: BackendId,
    /// When it started, if the listing says so.
    started_at_ms: Option<u64>,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// The region of its zone, if known.
    pub(crate) region: Option<RegionName>,
    pub(crate) distance: Distance,
    pub(crate) pool: ConnectionPool,
    pub(crate) health: RefCell<ServerHealth>,
    slots: Cell<u32>,
    /// False once the listing shows it as draining or not at all, or its address is found to belong to another server.
    is_available: Cell<bool>,
    /// Whether operators have evacuated its zone, so that it gets no new requests.
    is_evacuated: Cell<bool>,
    warm_at: Cell<Instant>,
    /// The limit that applies while it is cold, if there is one.
    cold_limit: Cell<Option<ColdLimit>>,
    cold_turns: Cell<ColdTurns>,
    /// The shortest network round trip that was measured.
    round_trip: Cell<Duration>,
}

impl Server {
    pub(crate) fn new(
        listed: &ListedServer,
        region: Option<RegionName>,
        distance: Distance,
    ) -> Self {
        Self {
            id: listed.id.clone(),
            started_at_ms: listed.started_at_ms,
            address: listed.address,
            zone: listed.zone.clone(),
            region,
            distance,
            pool: ConnectionPool::new(listed.address),
            health: RefCell::default(),
            slots: Cell::new(listed.slots),
            is_available: Cell::new(!listed.is_draining),
            is_evacuated: Cell::new(false),
            warm_at: Cell::new(Instant::now() + Duration::from_millis(listed.warmup_left_ms)),
            cold_limit: Cell::new(None),
            cold_turns: Cell::new(ColdTurns::new(rand::random())),
            round_trip: Cell::new(initial_round_trip(distance)),
        }
    }

    /// Whether the listing describes this incarnation of the server. Another incarnation with the same id has no
    /// knowledge of the requests that this one was sent, may run elsewhere and is cold.
    pub(crate) fn is_same_incarnation(&self, listed: &ListedServer) -> bool {
        let is_same_time = self.started_at_ms == listed.started_at_ms;
        is_same_time && self.address == listed.address && self.zone == listed.zone
    }

    /// Applies the entry of a newer listing.
    pub(crate) fn update(&self, listed: &ListedServer) {
        self.slots.set(listed.slots);
        if listed.is_cold() {
            self.extend_warmup(Duration::from_millis(listed.warmup_left_ms));
        }
        if listed.is_draining {
            self.start_draining();
        }
    }

    /// The server gets no new requests from now on. Requests in progress continue.
    pub(crate) fn start_draining(&self) {
        self.is_available.set(false);
        self.pool.close_idle();
    }

    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_available.get() && !self.is_evacuated.get()
    }

    /// Stops or resumes sending new requests to the server. Requests in progress continue. A server that resumes may
    /// have become cold in the meantime, which the listing shows only later, so it counts as cold for the time
    /// `warmup`.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool, warmup: Duration) {
        let was_evacuated = self.is_evacuated.replace(is_evacuated);
        if was_evacuated && !is_evacuated {
            self.extend_warmup(warmup);
        }
    }

    /// The server counts as cold for at least the time `warmup` from now on.
    fn extend_warmup(&self, warmup: Duration) {
        let warm_at = Instant::now() + warmup;
        self.warm_at.set(self.warm_at.get().max(warm_at));
    }

    fn is_cold(&self, at: Instant) -> bool {
        self.warm_at.get() > at
    }

    /// Changes the limit that applies while the server is cold.
    pub(super) fn set_cold_limit(&self, limit: Option<ColdLimit>) {
        self.cold_limit.set(limit);
    }

    /// Whether it may get a request now: it is warm, it is cold without a limit, or this gateway has an open turn.
    pub(super) fn is_warm_or_in_turn(&self, now: Duration) -> bool {
        match self.cold_limit.get() {
            Some(limit) if self.is_cold(Instant::now()) => {
                self.cold_turns.get().is_open(now, limit)
            }
            _ => true,
        }
    }

    /// Marks the current turn as used if the server is cold.
    pub(super) fn use_cold_turn(&self, now: Duration) {
        let (true, Some(limit)) = (self.is_cold(Instant::now()), self.cold_limit.get()) else {
            return;
        };
        let mut turns = self.cold_turns.get();
        turns.use_turn(now, limit);
        self.cold_turns.set(turns);
    }

    /// Whether it accepts requests and its region is allowed.
    pub(crate) fn may_serve(&self, allowed: &ServingRegions) -> bool {
        self.accepts_requests() && allowed.admit(self.region.as_ref())
    }

    /// Requests that it processes concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.get()
    }

    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip.get()
    }

    /// Records the time that a connection took to open.
    pub(crate) fn record_round_trip(&self, measured: Duration) {
        // Connecting is never faster than the network round trip and sometimes much slower, so the minimum is kept.
        self.round_trip.set(self.round_trip.get().min(measured));
    }

    /// The state of the server for choosing among candidates. `now` and `at` are the same moment on two clocks.
    pub(crate) fn candidate(&self, now: Duration, at: Instant) -> Candidate {
        let health = self.health.borrow();
        Candidate {
            distance: self.distance,
            round_trip: self.round_trip(),
            service_time_ratio: health.service_time_ratio(now),
            failure_rate: health.failure_rate(now),
            outstanding: health.outstanding(),
            concurrency: self.slots.get().min(self.pool.limit()),
            is_stalled: health.is_stalled(now),
            is_in_backoff: health.is_in_backoff(now),
            is_cold: self.is_cold(at),
        }
    }
}

/// The assumed network round trip before a connection has been opened.
fn initial_round_trip(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::from_millis(1),
        Distance::Region => Duration::from_millis(4),
        Distance::Remote => Duration::from_millis(40),
    }
}
