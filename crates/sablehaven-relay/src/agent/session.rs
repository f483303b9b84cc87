//! One agent's connection.

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
    hub::{HintMessage, Hub, LedgerAnswer},
};

/// Ledger replies that are written together at most.
const MAXIMUM_ANSWERS_PER_WRITE: usize = 256;

/// A proof older than this part of its lease is not passed on, since the agent gains more by
/// waiting for the next one.
const OLDEST_PROOF_DIVISOR: u32 = 2;

/// Why an agent's connection ended.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum SessionError {
    /// {0}
    Wire(#[from] WireError),
    /// send to agent {agent}: it takes no bytes
    SendTimeout {
        /// The agent.
        agent: String,
    },
    /// receive from agent {agent}: it says nothing
    Silent {
        /// The agent.
        agent: String,
    },
    /// encode update for agent {agent}: {source}
    Encode {
        /// The agent.
        agent: String,
        /// The cause.
        source: rmp_serde::encode::Error,
    },
}

type AgentConnection = Connection<AgentToRelay, RelayToAgent>;

struct Session {
    hub: Arc<Hub>,
    id: SessionId,
    connection: AgentConnection,
    answers: mpsc::UnboundedReceiver<LedgerAnswer>,
    hints: broadcast::Receiver<HintMessage>,
    revision: watch::Receiver<u64>,
    proof: watch::Receiver<Option<LeaseProof>>,
    stopping: watch::Receiver<bool>,
    watching: Option<Watching>,
    waiting_nonce: Option<u64>,
    left: bool,
    counted_received: u64,
    counted_sent: u64,
}

/// What the agent asked for.
struct Watching {
    agent: AgentId,
    interest: Interest,
    /// The revision that the agent has once it has taken everything sent to it.
    sent_revision: u64,
}

/// Serves one agent until its connection ends.
pub(crate) async fn serve(hub: Arc<Hub>, connection: AgentConnection) {
    let (id, answers) = hub.open_session();
    let mut session = Session {
        hints: hub.hint_messages.subscribe(),
        revision: hub.revision.subscribe(),
        proof: hub.proof.subscribe(),
        stopping: hub.stopping.subscribe(),
        hub,
        id,
        connection,
        answers,
        watching: None,
        waiting_nonce: None,
        left: false,
        counted_received: 0,
        counted_sent: 0,
    };
    let result = session.run().await;
    session.close(result);
}

impl Session {
    async fn run(&mut self) -> Result<(), SessionError> {
        if *self.stopping.borrow_and_update() {
            self.send(&RelayToAgent::GoAway).await?;
        }
        let silence_limit = Duration::from_millis(self.hub.config.agent_silence_ms);
        while !self.left {
            let waits_for_proof = self.waiting_nonce.is_some();
            tokio::select! {
                received = timeout(silence_limit, self.connection.reader.receive()) => {
                    let Ok(message) = received else { return Err(self.silent()) };
                    self.handle(message?).await?;
                }
                Ok(()) = self.revision.changed() => self.send_update().await?,
                Some(answer) = self.answers.recv() => self.send_answers(answer).await?,
                hint = self.hints.recv() => self.pass_on_hint(hint).await?,
                Ok(()) = self.proof.changed(), if waits_for_proof => self.grant_waiting().await?,
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
            AgentToRelay::RequestLease { nonce } => self.grant(nonce).await,
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
                self.hub.call_ledger(self.id, call, request);
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
            directory.watches(self.id, &agent, placement, interest.clone());
        });
        self.watching = Some(Watching {
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

    /// Sends the one update that leads from what the agent was last sent to the newest revision.
    async fn send_update(&mut self) -> Result<(), SessionError> {
        self.revision.mark_unchanged();
        let hub = self.hub.clone();
        let Some(watching) = &self.watching else {
            return Ok(());
        };
        let frame = hub.frame(watching.sent_revision, &watching.interest);
        let Some(frame) = frame.map_err(|source| self.encode_error(source))? else {
            return Ok(());
        };
        // A full update holds its permit until it is written, so that only a bounded number of
        // copies is in memory. Without it, a zone's agents coming back at once would need one each.
        let permit = match frame.full {
            true => hub.snapshots.acquire().await.ok(),
            false => None,
        };
        self.feed_encoded(&frame.message).await?;
        self.flush().await?;
        drop(permit);
        if let Some(watching) = &mut self.watching {
            watching.sent_revision = frame.revision;
        }
        self.hub.metrics.sent_updates.inc();
        self.hub.metrics.sent_full_updates.inc_by(frame.full.into());
        Ok(())
    }

    /// Answers a lease request with the newest proof, or once there is a fresh one.
    async fn grant(&mut self, nonce: u64) -> Result<(), SessionError> {
        let received_at = self.hub.clock.now();
        let newest = *self.proof.borrow_and_update();
        let fresh = |proof: &LeaseProof| {
            proof.remaining(received_at) > proof.usable_duration() / OLDEST_PROOF_DIVISOR
        };
        let Some(proof) = newest.filter(fresh) else {
            self.waiting_nonce = Some(nonce);
            return Ok(());
        };
        self.waiting_nonce = None;
        if let Some(watching) = &self.watching {
            let agent = &watching.agent;
            self.hub.update_lease(agent, proof);
        }
        self.hub.metrics.leases.inc();
        let grant = proof.pass_on(nonce, received_at);
        self.send(&RelayToAgent::Lease(grant)).await
    }

    /// The request may have come long before the proof. Counting its arrival from now makes the
    /// age too large, never too small.
    async fn grant_waiting(&mut self) -> Result<(), SessionError> {
        match self.waiting_nonce.take() {
            Some(nonce) => self.grant(nonce).await,
            None => Ok(()),
        }
    }

    fn acknowledge(&self, configuration_version: u64) {
        if let Some(watching) = &self.watching {
            let agent = &watching.agent;
            self.hub.update_directory(|directory| {
                directory.acknowledges(agent, configuration_version);
            });
        }
    }

    fn observe(&self, observations: Vec<Observation>) {
        if let Some(watching) = &self.watching {
            self.hub.observe(self.id, &watching.agent, observations);
        }
    }

    fn leave(&mut self) {
        self.left = true;
        if let Some(watching) = &self.watching {
            let agent = &watching.agent;
            self.hub
                .update_directory(|directory| directory.leaves(agent));
        }
    }

    async fn pass_on_hint(
        &mut self,
        hint: Result<HintMessage, broadcast::error::RecvError>,
    ) -> Result<(), SessionError> {
        // A slow agent has missed some; it hears of them by an update.
        let Ok(hint) = hint else { return Ok(()) };
        let service = &hint.observation.service;
        let watching = self.watching.as_ref();
        let concerned = watching.is_some_and(|watching| watching.interest.includes(service));
        if !concerned || hint.from == self.id {
            return Ok(());
        }
        self.send(&RelayToAgent::Hint(vec![hint.observation])).await
    }

    async fn send_answers(&mut self, first: LedgerAnswer) -> Result<(), SessionError> {
        self.feed_answer(first).await?;
        for _ in 1..MAXIMUM_ANSWERS_PER_WRITE {
            match self.answers.try_recv() {
                Ok(answer) => self.feed_answer(answer).await?,
                Err(_) => break,
            }
        }
        self.flush().await
    }

    async fn feed_answer(&mut self, answer: LedgerAnswer) -> Result<(), SessionError> {
        let message = RelayToAgent::Ledger {
            call: answer.call,
            reply: answer.reply,
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
            return Err(self.send_timeout());
        };
        Ok(result?)
    }

    async fn flush(&mut self) -> Result<(), SessionError> {
        let limit = Duration::from_millis(self.hub.config.agent_send_timeout_ms);
        let written = timeout(limit, self.connection.writer.flush()).await;
        self.count_bytes();
        let Ok(result) = written else {
            return Err(self.send_timeout());
        };
        Ok(result?)
    }

    fn count_bytes(&mut self) {
        let received = self.connection.reader.received_bytes();
        let sent = self.connection.writer.sent_bytes();
        let metrics = &self.hub.metrics;
        metrics
            .agent_received_bytes
            .inc_by(received - self.counted_received);
        metrics.agent_sent_bytes.inc_by(sent - self.counted_sent);
        self.counted_received = received;
        self.counted_sent = sent;
    }

    fn close(self, result: Result<(), SessionError>) {
        let now = self.hub.clock.now();
        if let Some(watching) = &self.watching {
            let agent = &watching.agent;
            self.hub
                .update_directory(|directory| directory.disconnected(self.id, agent, now));
        }
        self.hub.close_session(self.id);
        match result {
            Ok(()) | Err(SessionError::Wire(WireError::Closed { .. })) => {}
            Err(error) => {
                self.hub.metrics.agent_errors.inc();
                log::warn!("agent's connection ended: {error}");
            }
        }
    }

    fn agent_name(&self) -> String {
        let address = self.connection.peer_address;
        format!("{} at {address}", self.connection.hello.sender)
    }

    fn silent(&self) -> SessionError {
        let agent = self.agent_name();
        SessionError::Silent { agent }
    }

    fn send_timeout(&self) -> SessionError {
        let agent = self.agent_name();
        SessionError::SendTimeout { agent }
    }

    fn encode_error(&self, source: rmp_serde::encode::Error) -> SessionError {
        let agent = self.agent_name();
        SessionError::Encode { agent, source }
    }
}
