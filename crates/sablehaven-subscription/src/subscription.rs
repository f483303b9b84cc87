//! The public face of a subscription.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use sablehaven_types::{
    AgentId, ConfigurationAge, LedgerReply, LedgerRequest, Observation, Placement, ServiceName,
};
use tokio::{
    sync::{mpsc::error::TrySendError, oneshot, watch},
    task::JoinHandle,
    time::timeout,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    Config, SubscriptionMetrics, View,
    manager::Manager,
    shared::{ActiveSession, LedgerCall, Shared},
};

/// Who subscribes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// The agent, unique for each start of the process.
    pub agent: AgentId,
    /// Where it runs.
    pub placement: Placement,
    /// The services it calls; empty means all.
    pub interest: BTreeSet<ServiceName>,
}

/// An agent's connection to the relays; cheap to clone. It ends with [`Subscription::stop`], or
/// when the last clone is dropped.
#[derive(Clone)]
pub struct Subscription {
    shared: Arc<Shared>,
    stop: CancellationToken,
    manager: Arc<Mutex<Option<JoinHandle<()>>>>,
    _ends_with_last_clone: Arc<DropGuard>,
}

impl Subscription {
    /// Starts connecting in the background. Must be called within a tokio runtime.
    pub fn start(config: Config, identity: AgentIdentity) -> Self {
        let shared = Arc::new(Shared::new(config, identity));
        let stop = CancellationToken::new();
        let manager = Manager::new(shared.clone());
        let task = tokio::spawn(manager.run(stop.clone()));
        Self {
            shared,
            stop: stop.clone(),
            manager: Arc::new(Mutex::new(Some(task))),
            _ends_with_last_clone: Arc::new(stop.drop_guard()),
        }
    }

    /// The state in force.
    pub fn view(&self) -> Arc<View> {
        self.shared.view()
    }

    /// Changes with each new view, also on a hint.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.shared.changed()
    }

    /// Whether the state in force is proved to be current. The age is `u64::MAX` while it never
    /// was.
    pub fn lease(&self) -> ConfigurationAge {
        self.shared.configuration_age()
    }

    /// The counters.
    pub fn metrics(&self) -> &SubscriptionMetrics {
        &self.shared.metrics
    }

    /// Calls the ledger. Without an answer within `limit`, or when the connection breaks, the reply
    /// is [`LedgerReply::Unavailable`]: whether the request took effect is not known. A call that
    /// was handed to a connection is never sent again; the caller may do so with the same claim.
    pub async fn ledger(&self, request: LedgerRequest, limit: Duration) -> LedgerReply {
        self.shared.metrics.ledger_calls.inc();
        let answer = timeout(limit, self.call(request)).await;
        let reply = answer.ok().flatten();
        reply.unwrap_or_else(|| self.unavailable())
    }

    /// Reports what was seen of a back end.
    pub fn observe(&self, observation: Observation) {
        self.shared.observe(observation);
    }

    /// Tells the relay that the agent stops, and ends all connections.
    pub async fn stop(self) {
        self.stop.cancel();
        let task = self.take_manager();
        if let Some(task) = task {
            // A manager that panicked has been reported by the panic hook.
            let _ = task.await;
        }
    }

    fn take_manager(&self) -> Option<JoinHandle<()>> {
        let mut slot = self.manager.lock().unwrap_or_else(PoisonError::into_inner);
        slot.take()
    }

    async fn call(&self, mut request: LedgerRequest) -> Option<LedgerReply> {
        loop {
            let active = self.active_session().await?;
            let (answer, reply) = oneshot::channel();
            match active.calls.try_send(LedgerCall { request, answer }) {
                Ok(()) => return reply.await.ok(),
                Err(TrySendError::Full(_)) => return None,
                Err(TrySendError::Closed(call)) => {
                    // Not handed over, so it may go by the next session.
                    request = call.request;
                    self.session_after(&active).await?;
                }
            }
        }
    }

    async fn active_session(&self) -> Option<ActiveSession> {
        let mut active = self.shared.active.subscribe();
        let session = active.wait_for(Option::is_some).await.ok()?;
        session.clone()
    }

    async fn session_after(&self, ended: &ActiveSession) -> Option<()> {
        let mut active = self.shared.active.subscribe();
        let another = |session: &Option<ActiveSession>| {
            session
                .as_ref()
                .is_none_or(|session| session.session != ended.session)
        };
        active.wait_for(another).await.ok()?;
        Some(())
    }

    fn unavailable(&self) -> LedgerReply {
        self.shared.metrics.ledger_unavailable.inc();
        LedgerReply::Unavailable {
            retry_after_ms: self.shared.config.ledger_retry_after_ms,
        }
    }
}
