//! What a back end holds and counts while it runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_types::{BackendState, ShardId, SnapshotId};
use serde::{Deserialize, Serialize};

use super::settings::{BackendSettings, Behaviour, HeldSnapshot, ServiceTime};

/// A back end as its administration interface shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The server's record, as a platform would list it.
    pub record: sablehaven_types::BackendRecord,
    /// Requests running.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Connections open.
    pub connections: u32,
    /// Connections opened since the first start.
    pub connections_opened: u64,
    /// Connections refused because of the limit.
    pub connections_refused: u64,
    /// Requests received since the first start.
    pub received: u64,
    /// Whether the server is lost.
    pub lost: bool,
    /// The snapshots held.
    pub held: Vec<HeldSnapshot>,
    /// How it behaves.
    pub behaviour: Behaviour,
}

/// The state of one back end, shared by its connections.
#[derive(Debug)]
pub(crate) struct State {
    held: RwLock<BTreeMap<SnapshotId, BTreeSet<ShardId>>>,
    behaviour: RwLock<Behaviour>,
    drain_since: Mutex<Option<Instant>>,
    started_at: Mutex<Instant>,
    random: Mutex<Pcg64Mcg>,
    pub(crate) incarnation: AtomicU64,
    pub(crate) lost: AtomicBool,
    pub(crate) running: AtomicU32,
    pub(crate) waiting: AtomicU32,
    pub(crate) received: AtomicU64,
    pub(crate) runs: AtomicU64,
}

impl State {
    pub(crate) fn new(settings: &BackendSettings, seed: u64) -> Self {
        let held = settings.held.iter().cloned();
        Self {
            held: RwLock::new(held.map(|held| (held.snapshot, held.shards)).collect()),
            behaviour: RwLock::new(settings.behaviour.clone()),
            drain_since: Mutex::new(None),
            started_at: Mutex::new(Instant::now()),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            incarnation: AtomicU64::new(settings.incarnation),
            lost: AtomicBool::new(false),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            received: AtomicU64::new(0),
            runs: AtomicU64::new(0),
        }
    }

    pub(crate) fn holds(&self, snapshot: SnapshotId, shard: ShardId) -> bool {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        held.get(&snapshot)
            .is_some_and(|shards| shards.contains(&shard))
    }

    pub(crate) fn held(&self) -> Vec<HeldSnapshot> {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        let held = held.iter().map(|(snapshot, shards)| HeldSnapshot {
            snapshot: *snapshot,
            shards: shards.clone(),
        });
        held.collect()
    }

    pub(crate) fn hold(&self, held: HeldSnapshot) {
        let mut all = self.held.write().unwrap_or_else(PoisonError::into_inner);
        all.insert(held.snapshot, held.shards);
    }

    pub(crate) fn drop_snapshot(&self, snapshot: SnapshotId) {
        let mut all = self.held.write().unwrap_or_else(PoisonError::into_inner);
        all.remove(&snapshot);
    }

    pub(crate) fn behaviour(&self) -> Behaviour {
        let behaviour = self.behaviour.read();
        behaviour.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_behaviour(&self, new: Behaviour) {
        let behaviour = self.behaviour.write();
        *behaviour.unwrap_or_else(PoisonError::into_inner) = new;
    }

    pub(crate) fn drain(&self) {
        lock(&self.drain_since).get_or_insert_with(Instant::now);
    }

    /// Whether it says that it drains, and for how long it has.
    pub(crate) fn draining_for(&self) -> Option<Duration> {
        lock(&self.drain_since).map(|since| since.elapsed())
    }

    pub(crate) fn backend_state(&self) -> BackendState {
        match self.draining_for() {
            Some(_) => BackendState::Leaving,
            None => BackendState::Live,
        }
    }

    /// Begins a new start of the server: cold, not draining, with the next number.
    pub(crate) fn restart(&self) {
        *lock(&self.drain_since) = None;
        *lock(&self.started_at) = Instant::now();
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether an event of this share (in thousandths) happens now.
    pub(crate) fn happens(&self, per_mille: u32) -> bool {
        per_mille > 0 && lock(&self.random).random_range(0..1_000) < per_mille
    }

    /// Draws how long the next request runs.
    pub(crate) fn draw_service_time(&self, settings: &BackendSettings) -> Duration {
        let behaviour = self.behaviour();
        let drawn = draw(&settings.service_time, &mut lock(&self.random));
        let cold = cold_factor(settings, lock(&self.started_at).elapsed());
        let is_straggler = self.happens(behaviour.straggler_per_mille);
        let straggler = if is_straggler {
            behaviour.straggler_factor
        } else {
            1.0
        };
        drawn.mul_f64(cold * straggler * behaviour.slow_factor)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn draw(service_time: &ServiceTime, random: &mut Pcg64Mcg) -> Duration {
    let median = Duration::from_micros(service_time.median_us);
    median.mul_f64((service_time.sigma * standard_normal(random)).exp())
}

/// A normally distributed number (Box and Muller 1958).
fn standard_normal(random: &mut Pcg64Mcg) -> f64 {
    let radius_draw: f64 = random.random_range(f64::EPSILON..1.0);
    let angle_draw: f64 = random.random();
    (-2.0 * radius_draw.ln()).sqrt() * (std::f64::consts::TAU * angle_draw).cos()
}

/// How many times longer requests run this long after the start.
fn cold_factor(settings: &BackendSettings, since_start: Duration) -> f64 {
    let cold_start = Duration::from_millis(settings.cold_start_ms);
    if since_start >= cold_start {
        return 1.0;
    }
    let left = 1.0 - since_start.as_secs_f64() / cold_start.as_secs_f64();
    1.0 + (settings.cold_factor - 1.0) * left
}
