//! Serves the connection of one agent.

use std::{sync::Arc, time::Duration};

use sablehaven_types::{AgentId, Observation, Placement};
use sablehaven_wire::{
    AgentToRelay, Connection, EncodedMessage, LeaseProof, RelayToAgent, WireError,
};
use tokio::{
    sync::{broadcast, mpsc, watch},
    time::timeout,
};

use crate::{
    Interest, SessionId,
    hub::{CallReply, HintMessage, Hub},
};

/// Maximum number of ledger replies written before the connection is flushed.
const MAX_REPLIES_PER_FLUSH: usize = 256;

/// A proof is passed on only if more than this fraction (1/n) of the lease duration remains.
/// Otherwise the agent gets a longer lease by waiting for the next proof.
const MIN_REMAINING_LEASE_DIVISOR: u32 = 2;

/// Reason why an agent's connection ended with an error.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum SessionError {
    /// {0}
    Wire(#[from] WireError),
    /// send to agent {agent}: timed out
    SendTimeout {
        /// Name and address of the agent.
        agent: String,
    },
    /// receive from agent {agent}: timed out
    ReceiveTimeout {
        /// Name and address of the agent.
        agent: String,
    },
    /// encode message to agent {agent}: {source}
    Encode {
        /// Name and address of the agent.
        agent: String,
        /// The underlying error.
        source: rmp_serde::encode::Error,
    },
}

type AgentConnection = Connection<AgentToRelay, RelayToAgent>;

/// The connection of one agent, together with its subscriptions to the shared state.
struct Session {
    hub: Arc<Hub>,
    id: SessionId,
    connection: AgentConnection,
    replies: mpsc::UnboundedReceiver<CallReply>,
    hints: broadcast::Receiver<HintMessage>,
    revision: watch::Receiver<u64>,
    proof: watch::Receiver<Option<LeaseProof>>,
    stopping: watch::Receiver<bool>,
    watch: Option<WatchState>,
    /// The nonce of a lease request that waits for a fresh proof.
    pending_lease_nonce: Option<u64>,
    has_left: bool,
    /// Received bytes that the metrics already include.
    counted_received_bytes: u64,
    /// Sent bytes that the metrics already include.
    counted_sent_bytes: u64,
}

/// State of the agent's `Watch` request.
struct WatchState {
    agent: AgentId,
    interest: Interest,
    /// The revision that the agent will have once it has applied everything sent to it.
    sent_revision: u64,
}

/// Serves one agent until its connection ends.
pub(crate) async fn serve(hub: Arc<Hub>, connection: AgentConnection) {
    let (id, replies) = hub.open_session();
    let mut session = Session {
        hints: hub.hint_messages.subscribe(),
        revision: hub.revision.subscribe(),
        proof: hub.proof.subscribe(),
        stopping: hub.stopping.subscribe(),
        hub,
        id,
        connection,
        replies,
        watch: None,
        pending_lease_nonce: None,
        has_left: false,
        counted_received_bytes: 0,
        counted_sent_bytes: 0,
    };
    let result = session.run().await;
    session.close(result);
}

impl Session {
    async fn run(&mut self) -> Result<(), SessionError> {
        if *self.stopping.borrow_and_update() {
            self.send(&RelayToAgent::GoAway).await?;
        }
        let receive_limit = Duration::from_millis(self.hub.config.agent_silence_ms);
        while !self.has_left {
            let awaits_proof = self.pending_lease_nonce.is_some();
            tokio::select! {
                received = timeout(receive_limit, self.connection.reader.receive()) => {
                    let Ok(message) = received else { return Err(self.receive_timeout_error()) };
                    self.handle(message?).await?;
                }
                Ok(()) = self.revision.changed() => self.send_update().await?,
                Some(reply) = self.replies.recv() => self.send_replies(reply).await?,
                hint = self.hints.recv() => self.forward_hint(hint).await?,
                Ok(()) = self.proof.changed(), if awaits_proof => self.grant_pending_lease().await?,
                Ok(()) = self.stopping.changed() => self.send(&RelayToAgent::GoAway).await?,
            }
        }
        Ok(())
    }

    async fn handle(&mut self, message: AgentToRelay) -> Result<(), SessionError> {
        self.count_bytes();
        match message {
            AgentToRelay::Watch {
                agent,
                placement,
                interest,
                revision,
            } => {
                self.watch(agent, placement, Interest::new(interest), revision)
                    .await
            }
            AgentToRelay::RequestLease { nonce } => self.grant_lease(nonce).await,
            AgentToRelay::Acknowledge {
                configuration_version,
                ..
            } => {
                self.acknowledge(configuration_version);
                Ok(())
            }
            AgentToRelay::Observe(observations) => {
                self.observe(observations);
                Ok(())
            }
            AgentToRelay::Ledger { call, request } => {
                self.hub.submit_ledger_call(self.id, call, request);
                Ok(())
            }
            AgentToRelay::Leave => {
                self.leave();
                Ok(())
            }
        }
    }

    async fn watch(
        &mut self,
        agent: AgentId,
        placement: Placement,
        interest: Interest,
        revision: u64,
    ) -> Result<(), SessionError> {
        let hints = self.hub.hints_for(&interest);
        self.hub.update_directory(|directory| {
            directory.register(self.id, &agent, placement, interest.clone());
        });
        self.watch = Some(WatchState {
            agent,
            interest,
            sent_revision: revision,
        });
        self.send_update().await?;
        if !hints.is_empty() {
            self.send(&RelayToAgent::Hint(hints)).await?;
        }
        Ok(())
    }

    /// Sends a single update from the revision last sent to the agent to the latest one.
    async fn send_update(&mut self) -> Result<(), SessionError> {
        self.revision.mark_unchanged();
        let hub = self.hub.clone();
        let Some(watch) = &self.watch else {
            return Ok(());
        };
        let update = hub.update_from(watch.sent_revision, &watch.interest);
        let Some(update) = update.map_err(|source| self.encode_error(source))? else {
            return Ok(());
        };
        // A full update holds its permit until it is written, so that the number of copies in
        // memory is bounded. Without the permit, all agents of a zone that reconnect at once would
        // need one copy each.
        let permit = match update.full {
            true => hub.full_update_permits.acquire().await.ok(),
            false => None,
        };
        self.feed_encoded(&update.message).await?;
        self.flush().await?;
        drop(permit);
        if let Some(watch) = &mut self.watch {
            watch.sent_revision = update.revision;
        }
        self.hub.metrics.sent_updates.inc();
        self.hub
            .metrics
            .sent_full_updates
            .inc_by(update.full.into());
        Ok(())
    }

    /// Answers a lease request with the latest proof, or defers the answer until a fresh proof
    /// arrives.
    async fn grant_lease(&mut self, nonce: u64) -> Result<(), SessionError> {
        let received_at = self.hub.clock.now();
        let latest = *self.proof.borrow_and_update();
        let is_fresh = |proof: &LeaseProof| {
            proof.remaining(received_at) > proof.usable_duration() / MIN_REMAINING_LEASE_DIVISOR
        };
        let Some(proof) = latest.filter(is_fresh) else {
            self.pending_lease_nonce = Some(nonce);
            return Ok(());
        };
        self.pending_lease_nonce = None;
        if let Some(watch) = &self.watch {
            let agent = &watch.agent;
            self.hub.record_lease(agent, proof);
        }
        self.hub.metrics.leases.inc();
        let grant = proof.to_grant(nonce, received_at);
        self.send(&RelayToAgent::Lease(grant)).await
    }

    /// Answers the deferred lease request. The request may have arrived long before the proof.
    /// Counting its arrival from now can only overstate the age of the proof, never understate it.
    async fn grant_pending_lease(&mut self) -> Result<(), SessionError> {
        match self.pending_lease_nonce.take() {
            Some(nonce) => self.grant_lease(nonce).await,
            None => Ok(()),
        }
    }

    fn acknowledge(&self, configuration_version: u64) {
        if let Some(watch) = &self.watch {
            let agent = &watch.agent;
            self.hub.update_directory(|directory| {
                directory.record_acknowledgement(agent, configuration_version);
            });
        }
    }

    fn observe(&self, observations: Vec<Observation>) {
        if let Some(watch) = &self.watch {
            self.hub.observe(self.id, &watch.agent, observations);
        }
    }

    fn leave(&mut self) {
        self.has_left = true;
        if let Some(watch) = &self.watch {
            let agent = &watch.agent;
            self.hub
                .update_directory(|directory| directory.remove(agent));
        }
    }

    async fn forward_hint(
        &mut self,
        hint: Result<HintMessage, broadcast::error::RecvError>,
    ) -> Result<(), SessionError> {
        // The agent was too slow and missed some hints; it learns of the change from a later
        // update.
        let Ok(hint) = hint else { return Ok(()) };
        let service = &hint.observation.service;
        let watch = self.watch.as_ref();
        let is_interested = watch.is_some_and(|watch| watch.interest.includes(service));
        if !is_interested || hint.from == self.id {
            return Ok(());
        }
        self.send(&RelayToAgent::Hint(vec![hint.observation])).await
    }

    async fn send_replies(&mut self, first: CallReply) -> Result<(), SessionError> {
        self.feed_reply(first).await?;
        for _ in 1..MAX_REPLIES_PER_FLUSH {
            match self.replies.try_recv() {
                Ok(reply) => self.feed_reply(reply).await?,
                Err(_) => break,
            }
        }
        self.flush().await
    }

    async fn feed_reply(&mut self, reply: CallReply) -> Result<(), SessionError> {
        let message = RelayToAgent::Ledger {
            call: reply.call,
            reply: reply.reply,
        };
        self.feed(&message).await
    }

    async fn send(&mut self, message: &RelayToAgent) -> Result<(), SessionError> {
        self.feed(message).await?;
        self.flush().await
    }

    async fn feed(&mut self, message: &RelayToAgent) -> Result<(), SessionError> {
        let encoded = EncodedMessage::new(message).map_err(|source| self.encode_error(source))?;
        self.feed_encoded(&encoded).await
    }

    async fn feed_encoded(
        &mut self,
        message: &EncodedMessage<RelayToAgent>,
    ) -> Result<(), SessionError> {
        let limit = Duration::from_millis(self.hub.config.agent_send_timeout_ms);
        let written = timeout(limit, self.connection.writer.feed_encoded(message)).await;
        let Ok(result) = written else {
            return Err(self.send_timeout_error());
        };
        Ok(result?)
    }

    async fn flush(&mut self) -> Result<(), SessionError> {
        let limit = Duration::from_millis(self.hub.config.agent_send_timeout_ms);
        let written = timeout(limit, self.connection.writer.flush()).await;
        self.count_bytes();
        let Ok(result) = written else {
            return Err(self.send_timeout_error());
        };
        Ok(result?)
    }

    fn count_bytes(&mut self) {
        let received = self.connection.reader.received_bytes();
        let sent = self.connection.writer.sent_bytes();
        let metrics = &self.hub.metrics;
        metrics
            .agent_received_bytes
            .inc_by(received - self.counted_received_bytes);
        metrics
            .agent_sent_bytes
            .inc_by(sent - self.counted_sent_bytes);
        self.counted_received_bytes = received;
        self.counted_sent_bytes = sent;
    }

    fn close(self, result: Result<(), SessionError>) {
        let now = self.hub.clock.now();
        if let Some(watch) = &self.watch {
            let agent = &watch.agent;
            self.hub
                .update_directory(|directory| directory.record_disconnect(self.id, agent, now));
        }
        self.hub.close_session(self.id);
        match result {
            Ok(()) | Err(SessionError::Wire(WireError::Closed { .. })) => {}
            Err(error) => {
                self.hub.metrics.agent_errors.inc();
                log::warn!("agent connection failed: {error}");
            }
        }
    }

    fn agent_name(&self) -> String {
        let address = self.connection.peer_address;
        format!("{} at {address}", self.connection.hello.sender)
    }

    fn receive_timeout_error(&self) -> SessionError {
        let agent = self.agent_name();
        SessionError::ReceiveTimeout { agent }
    }

    fn send_timeout_error(&self) -> SessionError {
        let agent = self.agent_name();
        SessionError::SendTimeout { agent }
    }

    fn encode_error(&self, source: rmp_serde::encode::Error) -> SessionError {
        let agent = self.agent_name();
        SessionError::Encode { agent, source }
    }
}
