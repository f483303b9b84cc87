//! What the requests of one agent share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use sablehaven_subscription::Subscription;
use tokio::{sync::watch, time::timeout};
use tokio_util::task::TaskTracker;

use crate::{
    answer::Answer, config::Config, metrics::Metrics, once::OnceEnvironment, plan::AgentPlan,
    query::QueryCrashes, reason::Reason,
};

/// Longest wait of a request for a plan that is being built; far more than a build takes.
const MAX_PLAN_WAIT: Duration = Duration::from_secs(10);

/// The shared part of one agent.
pub struct Agent {
    /// Settings.
    pub config: Config,
    /// Shared state, lease and ledger.
    pub subscription: Subscription,
    /// Metrics.
    pub metrics: Metrics,
    /// Queries under which back ends ended.
    pub crashes: QueryCrashes,
    /// Requests that may not be repeated, each to the recording of its outcome.
    pub once_tasks: TaskTracker,
    plan: ArcSwap<AgentPlan>,
    plan_revision: watch::Sender<u64>,
    stopping: AtomicBool,
}

impl Agent {
    /// An agent without a plan.
    pub fn new(config: Config, subscription: Subscription, metrics: Metrics) -> Self {
        Self {
            config,
            subscription,
            metrics,
            crashes: QueryCrashes::default(),
            once_tasks: TaskTracker::new(),
            plan: ArcSwap::default(),
            plan_revision: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// The plan in force. A request takes it once and keeps it to its end.
    pub fn plan(&self) -> Arc<AgentPlan> {
        self.plan.load_full()
    }

    /// The plan for a request that starts now. The subscription has told control which state this
    /// agent has; a request that starts after that must not be served by an older plan, so it waits
    /// for the building of the new one, which takes milliseconds.
    pub async fn current_plan(&self) -> Arc<AgentPlan> {
        let required_revision = self.subscription.view().revision;
        let plan = self.plan();
        if plan.revision >= required_revision {
            return plan;
        }
        let mut plan_revision = self.plan_revision.subscribe();
        let built = plan_revision.wait_for(|revision| *revision >= required_revision);
        // After the limit the older plan serves, and its answers say that they are not current.
        let _ = timeout(MAX_PLAN_WAIT, built).await;
        self.plan()
    }

    /// Puts a plan in force.
    pub fn set_plan(&self, plan: AgentPlan) {
        let revision = plan.revision;
        self.plan.store(Arc::new(plan));
        // Only after the plan itself: who waits for the revision reads the plan next.
        self.plan_revision.send_replace(revision);
    }

    /// No further plan will be built: requests wait for none.
    pub fn release_plan_waiters(&self) {
        self.plan_revision.send_replace(u64::MAX);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop: from now on callers are told to reconnect elsewhere.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// What a request that may not be repeated uses.
    pub fn once_environment(&self) -> OnceEnvironment {
        OnceEnvironment {
            subscription: self.subscription.clone(),
            timing: self.config.timing.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// A refusal with the agent's own time to come back.
    pub fn refusal_with_retry_after(&self, reason: Reason) -> Answer {
        Answer::without_reply(reason).with_retry_after(self.config.timing.retry_after())
    }
}
