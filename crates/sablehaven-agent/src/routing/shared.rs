//! The router of one service, shared by its requests.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_routing::{AttemptResult, ChosenBackend, ServiceUpdate};
use sablehaven_types::{BackendId, IndexSnapshot, MissingReason, Observation, ShardId, SnapshotId};

use super::RoutingPolicy;

/// Called with each observation of a router, to publish it to the other agents.
pub type Observer = Arc<dyn Fn(Observation) + Send + Sync>;

/// The router of one service. A decision holds the lock for a few microseconds, and the lock is never
/// held across an `await`.
pub struct SharedRouter {
    created_at: Instant,
    observer: Observer,
    state: Mutex<PolicyState>,
}

/// The state protected by the lock.
///
/// Policy and snapshot are updated together under one lock. A request that pinned a snapshot and then
/// uses the policy sees both either as of before or as of after an update, and can tell which.
pub struct PolicyState {
    /// The routing policy.
    pub policy: Box<dyn RoutingPolicy>,
    /// The snapshot of the last update of the policy. New requests pin it.
    pub snapshot: Arc<IndexSnapshot>,
}

impl SharedRouter {
    /// Creates a router from a policy that has not been updated yet.
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
            created_at: Instant::now(),
            observer,
            state: Mutex::new(state),
        }
    }

    /// Returns the current time as used by the policy: the time since the router was created.
    pub fn now(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Locks the policy and the snapshot.
    pub fn lock(&self) -> MutexGuard<'_, PolicyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the snapshot for a new request to pin.
    pub fn pin(&self) -> Arc<IndexSnapshot> {
        Arc::clone(&self.lock().snapshot)
    }

    /// Updates the policy and the snapshot from a new view of the service.
    pub fn update(&self, update: ServiceUpdate<'_>) {
        let now = self.now();
        let snapshot = Arc::new(update.snapshot.clone());
        let mut state = self.lock();
        state.policy.update(now, update);
        state.snapshot = snapshot;
        drop(state);
        self.publish_observations();
    }

    /// Reports the result of an attempt.
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
    /// Returns the policy as used by a request that pinned `pinned`.
    pub fn pinned<'a>(&'a mut self, pinned: &'a IndexSnapshot) -> PinnedRouter<'a> {
        PinnedRouter {
            is_superseded: self.snapshot.id != pinned.id,
            policy: self.policy.as_mut(),
            pinned,
        }
    }
}

/// The policy as used by a request that pinned a snapshot. Once the policy has been updated to another
/// snapshot, a chosen replica is used only if the pinned snapshot assigns the shard to it too.
pub struct PinnedRouter<'a> {
    /// The routing policy.
    pub policy: &'a mut dyn RoutingPolicy,
    pinned: &'a IndexSnapshot,
    is_superseded: bool,
}

impl<'a> PinnedRouter<'a> {
    /// Creates a router whose policy has the pinned snapshot.
    pub fn current(policy: &'a mut dyn RoutingPolicy, pinned: &'a IndexSnapshot) -> Self {
        Self {
            policy,
            pinned,
            is_superseded: false,
        }
    }

    /// Chooses a replica, or returns why there is none.
    pub fn choose(
        &mut self,
        now: Duration,
        shard: ShardId,
        exclude: &[BackendId],
    ) -> Result<ChosenBackend, MissingReason> {
        match self.policy.choose(now, shard, exclude) {
            Some(chosen) if self.is_usable(shard, &chosen.backend) => Ok(chosen),
            Some(_) => Err(MissingReason::SnapshotGone),
            None if self.is_superseded => Err(MissingReason::SnapshotGone),
            None => Err(self.policy.no_choice_reason(now, shard, exclude)),
        }
    }

    fn is_usable(&self, shard: ShardId, backend: &BackendId) -> bool {
        if !self.is_superseded {
            return true;
        }
        let mut assignments = self.pinned.shards.iter();
        assignments
            .find(|assignment| assignment.shard == shard)
            .is_some_and(|assignment| assignment.replicas.contains(backend))
    }
}
