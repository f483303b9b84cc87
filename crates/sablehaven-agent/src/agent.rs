//! State shared by all requests of one agent.

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

/// Longest time a request waits for a plan that is being built. A build takes milliseconds.
const MAX_PLAN_WAIT: Duration = Duration::from_secs(10);

/// State shared by all requests of one agent.
pub struct Agent {
    /// The agent's settings.
    pub config: Config,
    /// Access to the shared state, the configuration lease and the request ledger.
    pub subscription: Subscription,
    /// The agent's metrics.
    pub metrics: Metrics,
    /// Queries that are known or suspected to crash back ends.
    pub crashes: QueryCrashes,
    /// Tasks of at-most-once requests; each runs until the outcome is recorded.
    pub once_tasks: TaskTracker,
    plan: ArcSwap<AgentPlan>,
    plan_revision: watch::Sender<u64>,
    is_stopping: AtomicBool,
}

impl Agent {
    /// Creates an agent without a plan.
    pub fn new(config: Config, subscription: Subscription, metrics: Metrics) -> Self {
        Self {
            config,
            subscription,
            metrics,
            crashes: QueryCrashes::default(),
            once_tasks: TaskTracker::new(),
            plan: ArcSwap::default(),
            plan_revision: watch::Sender::new(0),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Returns the current plan. A request loads it once and uses it until it completes.
    pub fn plan(&self) -> Arc<AgentPlan> {
        self.plan.load_full()
    }

    /// Returns the plan for a request that starts now.
    ///
    /// The subscription has already reported the revision of this agent's state to the control
    /// service, so a request that starts afterwards must not use a plan of an older revision. It
    /// waits until the new plan is built, which takes milliseconds.
    pub async fn current_plan(&self) -> Arc<AgentPlan> {
        let required_revision = self.subscription.view().revision;
        let plan = self.plan();
        if plan.revision >= required_revision {
            return plan;
        }
        let mut plan_revision = self.plan_revision.subscribe();
        let built = plan_revision.wait_for(|revision| *revision >= required_revision);
        // After a timeout the older plan is used; its answers are marked as not current.
        let _ = timeout(MAX_PLAN_WAIT, built).await;
        self.plan()
    }

    /// Replaces the current plan.
    pub fn set_plan(&self, plan: AgentPlan) {
        let revision = plan.revision;
        self.plan.store(Arc::new(plan));
        // The plan is stored first, because a task that waits for the revision then reads the plan.
        self.plan_revision.send_replace(revision);
    }

    /// Stops all waiting for new plans, because none will be built any more.
    pub fn release_plan_waiters(&self) {
        self.plan_revision.send_replace(u64::MAX);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop: from now on HTTP/1 responses ask callers to close the connection.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Returns what an at-most-once request needs from the agent.
    pub fn once_environment(&self) -> OnceEnvironment {
        OnceEnvironment {
            subscription: self.subscription.clone(),
            timing: self.config.timing.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Returns a refusal with the retry delay from the agent's settings.
    pub fn refusal_with_retry_after(&self, reason: Reason) -> Answer {
        Answer::without_reply(reason).with_retry_after(self.config.timing.retry_after())
    }
}
