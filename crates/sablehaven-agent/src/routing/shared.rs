//! One service's router, shared by its requests.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_routing::{AttemptResult, ChosenBackend, ServiceUpdate};
use sablehaven_types::{BackendId, IndexSnapshot, MissingReason, Observation, ShardId, SnapshotId};

use super::RoutingPolicy;

/// Takes what the router saw, for the other agents.
pub type Observer = Arc<dyn Fn(Observation) + Send + Sync>;

/// One service's router. A decision holds the lock for a few microseconds, and no lock is held
/// across an await.
pub struct SharedRouter {
    started: Instant,
    observer: Observer,
    state: Mutex<PolicyState>,
}

/// What the lock protects.
///
/// Policy and snapshot change together under one lock: a request that pinned the snapshot and then
/// asks the policy sees either both of before or both of after an update, and can tell which.
pub struct PolicyState {
    /// The decisions.
    pub policy: Box<dyn RoutingPolicy>,
    /// The snapshot that the policy was last updated with, which new requests pin.
    pub snapshot: Arc<IndexSnapshot>,
}

impl SharedRouter {
    /// Shares a policy that has not been updated yet.
    pub fn new(policy: Box<dyn RoutingPolicy>, observer: Observer) -> Self {
        let snapshot = IndexSnapshot {
            id: SnapshotId::default(),
            shards: Vec::new(),
        };
        let state = PolicyState {
            policy,
            snapshot: Arc::new(snapshot),
        };
        Self {
            started: Instant::now(),
            observer,
            state: Mutex::new(state),
        }
    }

    /// The time that the policy counts in.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The policy, locked.
    pub fn lock(&self) -> MutexGuard<'_, PolicyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The snapshot that a request which starts now pins.
    pub fn pin(&self) -> Arc<IndexSnapshot> {
        Arc::clone(&self.lock().snapshot)
    }

    /// Takes in a new view of the service.
    pub fn update(&self, update: ServiceUpdate<'_>) {
        let now = self.now();
        let snapshot = Arc::new(update.snapshot.clone());
        let mut state = self.lock();
        state.policy.update(now, update);
        state.snapshot = snapshot;
        drop(state);
        self.publish_observations();
    }

    /// Reports the end of an attempt.
    pub fn finished(&self, backend: &BackendId, result: AttemptResult) {
        let now = self.now();
        self.lock().policy.finished(now, backend, result);
        self.publish_observations();
    }

    fn publish_observations(&self) {
        let observations = self.lock().policy.take_observations();
        for observation in observations {
            (self.observer)(observation);
        }
    }
}

impl std::fmt::Debug for SharedRouter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SharedRouter")
            .finish_non_exhaustive()
    }
}

impl PolicyState {
    /// The decisions for a request that pinned a snapshot.
    pub fn pinned<'a>(&'a mut self, pinned: &'a IndexSnapshot) -> PinnedRouter<'a> {
        PinnedRouter {
            moved_on: self.snapshot.id != pinned.id,
            policy: self.policy.as_mut(),
            pinned,
        }
    }
}

/// A policy seen by a request that pinned a snapshot. Once the policy has moved on to another
/// snapshot, its choices count only if the pinned partition map names the same replica.
pub struct PinnedRouter<'a> {
    /// The decisions.
    pub policy: &'a mut dyn RoutingPolicy,
    pinned: &'a IndexSnapshot,
    moved_on: bool,
}

impl<'a> PinnedRouter<'a> {
    /// A policy that follows the pinned snapshot.
    pub fn current(policy: &'a mut dyn RoutingPolicy, pinned: &'a IndexSnapshot) -> Self {
        Self {
            policy,
            pinned,
            moved_on: false,
        }
    }

    /// Chooses a replica, or says why there is none.
    pub fn choose(
        &mut self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Result<ChosenBackend, MissingReason> {
        match self.policy.choose(now, shard, exclude) {
            Some(chosen) if self.may_serve(shard, &chosen.backend) => Ok(chosen),
            Some(_) => Err(MissingReason::SnapshotGone),
            None if self.moved_on => Err(MissingReason::SnapshotGone),
            None => Err(self.policy.no_choice_reason(now, shard, exclude)),
        }
    }

    fn may_serve(&self, shard: ShardId, backend: &BackendId) -> bool {
        if !self.moved_on {
            return true;
        }
        let mut assignments = self.pinned.shards.iter();
        assignments
            .find(|assignment| assignment.shard == shard)
            .is_some_and(|assignment| assignment.replicas.contains(backend))
    }
}
