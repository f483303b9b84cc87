//! The connection of one relay, from its start to its end.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{AgentId, LedgerReply, LedgerRequest, Observation};
use sablehaven_wire::{
    Connection, ControlToRelay, FrameReader, FrameWriter, LeaseGrant, RelayToControl, StateUpdate,
    WireError,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use super::SessionId;
use crate::{
    driver::{Input, LeadershipProof, LedgerReplies, PublishedState, read},
    membership::AgentObservation,
    server::Context,
};

/// The time without any message after which a connection is closed. A relay requests proofs continually, so one that is
/// silent for this long is gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum time of one write.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The time that a relay has to connect to another replica when this one stops.
const GO_AWAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a relay's connection ended.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum SessionError {
    /// {0}
    Wire(#[from] WireError),
    /// relay {peer} sent no message within the timeout
    ReceiveTimeout {
        /// The address of the relay.
        peer: String,
    },
    /// sending to relay {peer} timed out
    SendTimeout {
        /// The address of the relay.
        peer: String,
    },
    /// connection of relay {peer}: this replica is stopping
    Stopped {
        /// The address of the relay.
        peer: String,
    },
}

/// Serves a relay until its connection ends or this replica stops.
pub(crate) async fn serve_relay(
    context: Arc<Context>,
    connection: Connection<RelayToControl, ControlToRelay>,
) {
    let address = connection.peer_address;
    let id = context.registry.open(address);
    context.metrics.relays.inc();
    let (outgoing, queue) = mpsc::unbounded_channel();
    let (ledger_replies, replies) = mpsc::unbounded_channel();
    let (revision_sender, watched_revision) = watch::channel(None);
    let reader = Reader {
        context: Arc::clone(&context),
        id,
        peer: address.to_string(),
        outgoing,
        ledger_replies,
        revision_sender,
    };
    let writer = Writer {
        published: context.published.clone(),
        context: Arc::clone(&context),
        peer: address.to_string(),
        writer: connection.writer,
        queue,
        replies,
        watched_revision,
        sent_revision: None,
    };
    // Errors are not logged: a relay may disconnect at any time, and it connects again.
    tokio::select! {
        _ = reader.run(connection.reader) => {}
        _ = writer.run() => {}
    }
    context.registry.close(id);
    context.metrics.relays.dec();
}

/// Receives and handles the messages of the relay.
struct Reader {
    context: Arc<Context>,
    id: SessionId,
    peer: String,
    outgoing: mpsc::UnboundedSender<ControlToRelay>,
    ledger_replies: LedgerReplies,
    /// Passes the revision that the relay has to the writer.
    revision_sender: watch::Sender<Option<u64>>,
}

impl Reader {
    /// Handles messages until the connection fails.
    async fn run(self, mut reader: FrameReader<RelayToControl>) -> Result<(), SessionError> {
        loop {
            let received = timeout(SILENCE_TIMEOUT, reader.receive()).await;
            let Ok(received) = received else {
                return Err(SessionError::ReceiveTimeout { peer: self.peer });
            };
            self.handle(received?).await;
        }
    }

    async fn handle(&self, message: RelayToControl) {
        match message {
            RelayToControl::Watch { relay, revision } => {
                self.context.registry.set_relay(self.id, relay);
                self.revision_sender.send_replace(Some(revision));
            }
            RelayToControl::RequestLease { nonce } => self.grant_lease(nonce),
            RelayToControl::Agents(agents) => {
                self.context.registry.report(self.id, agents);
            }
            RelayToControl::Observe { observations } => self.queue_observations(observations),
            RelayToControl::Ledger(calls) => self.call_ledger(calls).await,
        }
    }

    /// Requests a proof of leadership and replies with a lease. This runs in a task, so that the next messages of the
    /// relay are handled in the meantime.
    fn grant_lease(&self, nonce: u64) {
        let context = Arc::clone(&self.context);
        let outgoing = self.outgoing.clone();
        tokio::spawn(async move {
            let message = match context.driver.prove_leadership().await {
                Some(proof) => {
                    context.metrics.leases_granted.inc();
                    ControlToRelay::Lease(lease_from_proof(nonce, proof, &context))
                }
                None => {
                    context.metrics.leases_refused.inc();
                    context.not_leader()
                }
            };
            // An error means that the connection has ended, so the lease is no longer needed.
            let _ = outgoing.send(message);
        });
    }

    /// Queues what agents observed of back ends, or drops it if the queue is full.
    fn queue_observations(&self, observations: Vec<(AgentId, Observation)>) {
        for (agent, observation) in observations {
            let zone = self.context.registry.zone(self.id, &agent);
            let observed = AgentObservation {
                agent,
                zone,
                observation,
            };
            if self.context.observations.try_send(observed).is_err() {
                self.context.metrics.observations_dropped.inc();
            }
        }
    }

    /// Passes ledger calls to the driver.
    async fn call_ledger(&self, calls: Vec<(u64, LedgerRequest)>) {
        self.context.metrics.ledger_calls.inc_by(calls.len() as u64);
        let input = Input::Ledger {
            calls,
            replies: self.ledger_replies.clone(),
        };
        // The result is not needed: if the driver has ended, the replica is stopping and closes this connection.
        self.context.driver.send(input).await;
    }
}

/// Builds a lease from a proof of leadership. The age of the proof is rounded up, so that the lease ends too early
/// rather than too late.
fn lease_from_proof(nonce: u64, proof: LeadershipProof, context: &Context) -> LeaseGrant {
    let age = Instant::now().duration_since(proof.holds_at);
    LeaseGrant {
        nonce,
        age_ms: age.as_micros().div_ceil(1_000) as u64,
        duration_ms: context.config.lease_duration_ms,
        revision: proof.revision,
        configuration_version: proof.configuration_version,
    }
}

/// Sends messages to the relay.
struct Writer {
    context: Arc<Context>,
    peer: String,
    writer: FrameWriter<ControlToRelay>,
    /// Messages from the reader.
    queue: mpsc::UnboundedReceiver<ControlToRelay>,
    /// Replies to ledger calls, from the driver.
    replies: mpsc::UnboundedReceiver<Vec<(u64, LedgerReply)>>,
    published: watch::Receiver<PublishedState>,
    /// The revision that the relay had when it requested updates; `None` until then.
    watched_revision: watch::Receiver<Option<u64>>,
    /// The revision that the relay has after all updates sent so far; `None` if it has not requested any.
    sent_revision: Option<u64>,
}

impl Writer {
    /// Sends messages until the connection fails or this replica stops.
    async fn run(mut self) -> Result<(), SessionError> {
        let mut was_leader = self.published.borrow().is_leader();
        let stopping = self.context.stopping.clone();
        loop {
            tokio::select! {
                () = stopping.cancelled() => return self.go_away().await,
                Some(message) = self.queue.recv() => self.send(message).await?,
                Some(replies) = self.replies.recv() => self.send_replies(replies).await?,
                Ok(()) = self.watched_revision.changed() => {
                    self.sent_revision = *self.watched_revision.borrow_and_update();
                    if !self.published.borrow().is_leader() {
                        self.send(self.context.not_leader()).await?;
                    }
                    self.send_update().await?;
                }
                Ok(()) = self.published.changed() => {
                    let is_leader = self.published.borrow_and_update().is_leader();
                    if was_leader && !is_leader {
                        self.send(self.context.not_leader()).await?;
                    }
                    was_leader = is_leader;
                    self.send_update().await?;
                }
            }
        }
    }

    /// Sends an update if the relay has requested updates and does not have the latest revision.
    async fn send_update(&mut self) -> Result<(), SessionError> {
        let Some(revision) = self.sent_revision else {
            return Ok(());
        };
        let update: Option<StateUpdate> =
            read(&self.context.state, |state| state.update_since(revision));
        let Some(update) = update else {
            return Ok(());
        };
        self.sent_revision = Some(update.revision);
        self.send(ControlToRelay::Update(update)).await
    }

    /// Sends replies, and all others that are ready, in one message.
    async fn send_replies(
        &mut self,
        mut replies: Vec<(u64, LedgerReply)>,
    ) -> Result<(), SessionError> {
        while let Ok(more) = self.replies.try_recv() {
            replies.extend(more);
        }
        self.send(ControlToRelay::Ledger(replies)).await
    }

    /// Tells the relay to connect to another replica, and keeps answering its requests until [`GO_AWAY_TIMEOUT`] has passed.
    async fn go_away(mut self) -> Result<(), SessionError> {
        self.send(ControlToRelay::GoAway).await?;
        let deadline = sleep(GO_AWAY_TIMEOUT);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                Some(replies) = self.replies.recv() => self.send_replies(replies).await?,
                Some(message) = self.queue.recv() => self.send(message).await?,
                () = &mut deadline => return Err(SessionError::Stopped { peer: self.peer }),
            }
        }
    }

    /// Sends one message; fails if this takes longer than [`SEND_TIMEOUT`].
    async fn send(&mut self, message: ControlToRelay) -> Result<(), SessionError> {
        match timeout(SEND_TIMEOUT, self.writer.send(&message)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(SessionError::SendTimeout {
                peer: self.peer.clone(),
            }),
        }
    }
}
