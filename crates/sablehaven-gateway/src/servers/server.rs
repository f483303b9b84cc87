//! One server: one start of it, by its id.

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

/// One server, as the list and the gateway's own attempts show it.
pub(crate) struct Server {
    pub(crate) id: BackendId,
    /// When it started, where the list says so.
    started_at_ms: Option<u64>,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// The region of its zone, where that is known.
    pub(crate) region: Option<RegionName>,
    pub(crate) distance: Distance,
    pub(crate) pool: ConnectionPool,
    pub(crate) health: RefCell<ServerHealth>,
    slots: Cell<u32>,
    /// Whether the list has it as ready and it answers under its own id.
    takes_work: Cell<bool>,
    /// Whether operators have ordered that it gets nothing new.
    is_evacuated: Cell<bool>,
    warm_at: Cell<Instant>,
    /// What it bears while it is cold, where that is bounded.
    cold_limit: Cell<Option<ColdLimit>>,
    cold_turns: Cell<ColdTurns>,
    /// The shortest way there and back that was seen.
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
            takes_work: Cell::new(!listed.is_draining),
            is_evacuated: Cell::new(false),
            warm_at: Cell::new(Instant::now() + Duration::from_millis(listed.warmup_left_ms)),
            cold_limit: Cell::new(None),
            cold_turns: Cell::new(ColdTurns::new(rand::random())),
            round_trip: Cell::new(first_round_trip(distance)),
        }
    }

    /// Whether the list describes this start of the server. Another start under the same id knows nothing of what this one
    /// was sent, may be elsewhere, and is cold.
    pub(crate) fn is_same_start(&self, listed: &ListedServer) -> bool {
        let is_same_time = self.started_at_ms == listed.started_at_ms;
        is_same_time && self.address == listed.address && self.zone == listed.zone
    }

    /// Takes what a newer list says.
    pub(crate) fn update(&self, listed: &ListedServer) {
        self.slots.set(listed.slots);
        if listed.is_cold() {
            self.cool(Duration::from_millis(listed.warmup_left_ms));
        }
        if listed.is_draining {
            self.leave();
        }
    }

    /// The server takes no new work from now on; what it has goes on.
    pub(crate) fn leave(&self) {
        self.takes_work.set(false);
        self.pool.close_resting();
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.takes_work.get() && !self.is_evacuated.get()
    }

    /// The server gets nothing new from now on, or again. What it has goes on. One that works again may have
    /// turned cold meanwhile, for the time `warmup`; the list says so only later.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool, warmup: Duration) {
        let was_evacuated = self.is_evacuated.replace(is_evacuated);
        if was_evacuated && !is_evacuated {
            self.cool(warmup);
        }
    }

    /// The server is cold for some time from now on.
    fn cool(&self, warmup: Duration) {
        let warm_at = Instant::now() + warmup;
        self.warm_at.set(self.warm_at.get().max(warm_at));
    }

    fn is_cold(&self, at: Instant) -> bool {
        self.warm_at.get() > at
    }

    /// Changes what the server bears while it is cold.
    pub(super) fn set_cold_limit(&self, limit: Option<ColdLimit>) {
        self.cold_limit.set(limit);
    }

    /// Whether it is warm, or cold and this gateway has a turn now.
    pub(super) fn bears_one_more(&self, now: Duration) -> bool {
        match self.cold_limit.get() {
            Some(limit) if self.is_cold(Instant::now()) => {
                self.cold_turns.get().is_open(now, limit)
            }
            _ => true,
        }
    }

    /// Uses the turn at a cold server.
    pub(super) fn take_cold_turn(&self, now: Duration) {
        let (true, Some(limit)) = (self.is_cold(Instant::now()), self.cold_limit.get()) else {
            return;
        };
        let mut turns = self.cold_turns.get();
        turns.take(now, limit);
        self.cold_turns.set(turns);
    }

    /// Whether it takes work, in a region that is allowed.
    pub(crate) fn may_serve(&self, allowed: &ServingRegions) -> bool {
        self.takes_work() && allowed.admit(self.region.as_ref())
    }

    /// Requests that it works on at once.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.get()
    }

    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip.get()
    }

    /// Takes in the time that a connection took to open.
    pub(crate) fn record_round_trip(&self, seen: Duration) {
        // Connecting is never faster than the way, and sometimes much slower.
        self.round_trip.set(self.round_trip.get().min(seen));
    }

    /// What is known of it at one moment, which is both `now` and `at`.
    pub(crate) fn candidate(&self, now: Duration, at: Instant) -> Candidate {
        let health = self.health.borrow();
        Candidate {
            distance: self.distance,
            round_trip: self.round_trip(),
            slowness: health.slowness(now),
            failure_rate: health.failure_rate(now),
            outstanding: health.outstanding(),
            lanes: self.slots.get().min(self.pool.limit()),
            stands_still: health.stands_still(now),
            is_resting: health.is_resting(now),
            is_cold: self.is_cold(at),
        }
    }
}

/// What the way there and back is taken to be before a connection was opened.
fn first_round_trip(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::from_millis(1),
        Distance::Region => Duration::from_millis(4),
        Distance::Remote => Duration::from_millis(40),
    }
}
