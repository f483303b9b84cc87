//! What the requests of one agent share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwap;
use sablehaven_subscription::Subscription;
use tokio_util::task::TaskTracker;

use crate::{
    answer::Answer, config::Config, metrics::Metrics, once::OnceEnvironment, plan::AgentPlan,
    reason::Reason,
};

/// The shared part of one agent.
pub struct Agent {
    /// Settings.
    pub config: Config,
    /// Shared state, lease and ledger.
    pub subscription: Subscription,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests that may not be repeated, each to the recording of its outcome.
    pub once_tasks: TaskTracker,
    plan: ArcSwap<AgentPlan>,
    stopping: AtomicBool,
}

impl Agent {
    /// An agent without a plan.
    pub fn new(config: Config, subscription: Subscription, metrics: Metrics) -> Self {
        Self {
            config,
            subscription,
            metrics,
            once_tasks: TaskTracker::new(),
            plan: ArcSwap::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// The plan in force. A request takes it once and keeps it to its end.
    pub fn plan(&self) -> Arc<AgentPlan> {
        self.plan.load_full()
    }

    /// Puts a plan in force.
    pub fn set_plan(&self, plan: AgentPlan) {
        self.plan.store(Arc::new(plan));
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
    pub fn come_back(&self, reason: Reason) -> Answer {
        Answer::without_reply(reason).retry_after(self.config.timing.retry_after())
    }
}
