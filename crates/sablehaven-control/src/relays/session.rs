//! One connection of a relay.

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

/// A relay asks for proofs all the time; one that is silent for so long is gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// Time that one write may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a relay gets to connect elsewhere when this replica stops.
const GO_AWAY_LIMIT: Duration = Duration::from_secs(2);

/// Errors of a relay's connection.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum SessionError {
    /// {0}
    Wire(#[from] WireError),
    /// connection of relay {peer}: no message in time
    Silent {
        /// The relay.
        peer: String,
    },
    /// send to relay {peer}: not taken in time
    Slow {
        /// The relay.
        peer: String,
    },
    /// connection of relay {peer}: this replica stops
    Stopped {
        /// The relay.
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
    let (watched, watch) = watch::channel(None);
    let reader = Reader {
        context: Arc::clone(&context),
        id,
        peer: address.to_string(),
        outgoing,
        ledger_replies,
        watched,
    };
    let writer = Writer {
        published: context.published.clone(),
        context: Arc::clone(&context),
        peer: address.to_string(),
        writer: connection.writer,
        queue,
        replies,
        watch,
        sent_revision: None,
    };
    // A connection that ends is routine: the relay dials again.
    tokio::select! {
        _ = reader.run(connection.reader) => {}
        _ = writer.run() => {}
    }
    context.registry.close(id);
    context.metrics.relays.dec();
}

/// Takes what the relay sends.
struct Reader {
    context: Arc<Context>,
    id: SessionId,
    peer: String,
    outgoing: mpsc::UnboundedSender<ControlToRelay>,
    ledger_replies: LedgerReplies,
    watched: watch::Sender<Option<u64>>,
}

impl Reader {
    async fn run(self, mut reader: FrameReader<RelayToControl>) -> Result<(), SessionError> {
        loop {
            let received = timeout(SILENCE_LIMIT, reader.receive()).await;
            let Ok(received) = received else {
                return Err(SessionError::Silent { peer: self.peer });
            };
            self.take(received?).await;
        }
    }

    async fn take(&self, message: RelayToControl) {
        match message {
            RelayToControl::Watch { relay, revision } => {
                self.context.registry.name(self.id, relay);
                self.watched.send_replace(Some(revision));
            }
            RelayToControl::RequestLease { nonce } => self.prove(nonce),
            RelayToControl::Agents(agents) => {
                self.context.registry.report(self.id, agents);
            }
            RelayToControl::Observe { observations } => self.observe(observations),
            RelayToControl::Ledger(calls) => self.call_ledger(calls).await,
        }
    }

    /// Asks for a proof without holding up what the relay sends next.
    fn prove(&self, nonce: u64) {
        let context = Arc::clone(&self.context);
        let outgoing = self.outgoing.clone();
        tokio::spawn(async move {
            let message = match context.driver.prove_leadership().await {
                Some(proof) => {
                    context.metrics.leases_granted.inc();
                    ControlToRelay::Lease(grant(nonce, proof, &context))
                }
                None => {
                    context.metrics.leases_refused.inc();
                    context.not_leader()
                }
            };
            // A relay that has gone needs no lease.
            let _ = outgoing.send(message);
        });
    }

    fn observe(&self, observations: Vec<(AgentId, Observation)>) {
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

    async fn call_ledger(&self, calls: Vec<(u64, LedgerRequest)>) {
        self.context.metrics.ledger_calls.inc_by(calls.len() as u64);
        let input = Input::Ledger {
            calls,
            replies: self.ledger_replies.clone(),
        };
        // When the driver has ended the replica stops, and the connection with it.
        self.context.driver.send(input).await;
    }
}

/// The age is rounded up, so that the lease ends too early rather than too late.
fn grant(nonce: u64, proof: LeadershipProof, context: &Context) -> LeaseGrant {
    let age = Instant::now().duration_since(proof.holds_at);
    LeaseGrant {
        nonce,
        age_ms: age.as_micros().div_ceil(1_000) as u64,
        duration_ms: context.config.lease_duration_ms,
        revision: proof.revision,
        configuration_version: proof.configuration_version,
    }
}

/// Sends to the relay.
struct Writer {
    context: Arc<Context>,
    peer: String,
    writer: FrameWriter<ControlToRelay>,
    queue: mpsc::UnboundedReceiver<ControlToRelay>,
    replies: mpsc::UnboundedReceiver<Vec<(u64, LedgerReply)>>,
    published: watch::Receiver<PublishedState>,
    watch: watch::Receiver<Option<u64>>,
    /// The revision that the relay has once it has taken what was sent.
    sent_revision: Option<u64>,
}

impl Writer {
    async fn run(mut self) -> Result<(), SessionError> {
        let mut was_leader = self.published.borrow().is_leader();
        let stopping = self.context.stopping.clone();
        loop {
            tokio::select! {
                () = stopping.cancelled() => return self.go_away().await,
                Some(message) = self.queue.recv() => self.send(message).await?,
                Some(replies) = self.replies.recv() => self.send_replies(replies).await?,
                Ok(()) = self.watch.changed() => {
                    self.sent_revision = *self.watch.borrow_and_update();
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

    /// Sends what the relay lacks, if it watches and lacks something.
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

    /// Replies that have come meanwhile go in one message.
    async fn send_replies(
        &mut self,
        mut replies: Vec<(u64, LedgerReply)>,
    ) -> Result<(), SessionError> {
        while let Ok(more) = self.replies.try_recv() {
            replies.extend(more);
        }
        self.send(ControlToRelay::Ledger(replies)).await
    }

    /// Says that the relay should go, and answers what it still asks until it has gone.
    async fn go_away(mut self) -> Result<(), SessionError> {
        self.send(ControlToRelay::GoAway).await?;
        let end = sleep(GO_AWAY_LIMIT);
        tokio::pin!(end);
        loop {
            tokio::select! {
                Some(replies) = self.replies.recv() => self.send_replies(replies).await?,
                Some(message) = self.queue.recv() => self.send(message).await?,
                () = &mut end => return Err(SessionError::Stopped { peer: self.peer }),
            }
        }
    }

    async fn send(&mut self, message: ControlToRelay) -> Result<(), SessionError> {
        match timeout(SEND_TIMEOUT, self.writer.send(&message)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(SessionError::Slow {
                peer: self.peer.clone(),
            }),
        }
    }
}
