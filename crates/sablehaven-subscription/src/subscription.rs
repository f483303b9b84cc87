//! The public interface of a subscription.

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

/// The subscribing agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// The agent's identifier, unique for each start of the process.
    pub agent: AgentId,
    /// The placement of the agent.
    pub placement: Placement,
    /// The services that the agent calls. An empty set means all services.
    pub interest: BTreeSet<ServiceName>,
}

/// An agent's connection to the relays. Cheap to clone. It ends with [`Subscription::stop`], or when
/// the last clone is dropped.
#[derive(Clone)]
pub struct Subscription {
    shared: Arc<Shared>,
    stop: CancellationToken,
    manager: Arc<Mutex<Option<JoinHandle<()>>>>,
    _stop_on_last_drop: Arc<DropGuard>,
}

impl Subscription {
    /// Starts the subscription, which connects in the background. Must be called within a Tokio runtime.
    pub fn start(config: Config, identity: AgentIdentity) -> Self {
        let shared = Arc::new(Shared::new(config, identity));
        let stop = CancellationToken::new();
        let manager = Manager::new(shared.clone());
        let task = tokio::spawn(manager.run(stop.clone()));
        Self {
            shared,
            stop: stop.clone(),
            manager: Arc::new(Mutex::new(Some(task))),
            _stop_on_last_drop: Arc::new(stop.drop_guard()),
        }
    }

    /// Returns the state in force.
    pub fn view(&self) -> Arc<View> {
        self.shared.view()
    }

    /// Returns a receiver that is notified of each new view, including those caused by hints.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.shared.changed()
    }

    /// Returns whether the state in force is proved to be current, and the age of the proof. The age is
    /// `u64::MAX` until the first proof.
    pub fn lease(&self) -> ConfigurationAge {
        self.shared.configuration_age()
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &SubscriptionMetrics {
        &self.shared.metrics
    }

    /// Calls the ledger. The reply is [`LedgerReply::Unavailable`] if there is no answer within
    /// `timeout_after`, if the connection breaks, or if too many calls are pending. Whether the request
    /// took effect is then unknown. A call that was passed to a connection is never resent; the caller
    /// may send it again with the same claim.
    pub async fn ledger(&self, request: LedgerRequest, timeout_after: Duration) -> LedgerReply {
        self.shared.metrics.ledger_calls.inc();
        let answer = timeout(timeout_after, self.call(request)).await;
        let reply = answer.ok().flatten();
        reply.unwrap_or_else(|| self.unavailable())
    }

    /// Reports an observation of a back end.
    pub fn observe(&self, observation: Observation) {
        self.shared.observe(observation);
    }

    /// Tells the relay that the agent is stopping, and closes all connections.
    pub async fn stop(self) {
        self.stop.cancel();
        let task = self.take_manager();
        if let Some(task) = task {
            // A panic of the manager has already been reported by the panic hook.
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
            let (reply_sender, reply) = oneshot::channel();
            match active.calls.try_send(LedgerCall {
                request,
                reply_sender,
            }) {
                Ok(()) => return reply.await.ok(),
                Err(TrySendError::Full(_)) => return None,
                Err(TrySendError::Closed(call)) => {
                    // The call was not passed to the session, so it can be sent on the next one.
                    request = call.request;
                    self.wait_for_other_session(&active).await?;
                }
            }
        }
    }

    async fn active_session(&self) -> Option<ActiveSession> {
        let mut active = self.shared.active.subscribe();
        let session = active.wait_for(Option::is_some).await.ok()?;
        session.clone()
    }

    async fn wait_for_other_session(&self, ended: &ActiveSession) -> Option<()> {
        let mut active = self.shared.active.subscribe();
        let is_other = |session: &Option<ActiveSession>| {
            session
                .as_ref()
                .is_none_or(|session| session.session != ended.session)
        };
        active.wait_for(is_other).await.ok()?;
        Some(())
    }

    fn unavailable(&self) -> LedgerReply {
        self.shared.metrics.ledger_unavailable.inc();
        LedgerReply::Unavailable {
            retry_after_ms: self.shared.config.ledger_retry_after_ms,
        }
    }
}
