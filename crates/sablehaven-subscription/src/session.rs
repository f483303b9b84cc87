//! One connection to one relay.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_types::LedgerReply;
use sablehaven_wire::{
    AgentToRelay, Connection, RelayToAgent, Role, StateUpdate, UpdateCheck, WireError, connect_from,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, Interval, MissedTickBehavior, interval, sleep_until, timeout},
};

use crate::{
    SessionId,
    shared::{LedgerCall, Shared},
};

/// Time that a write may take; a relay that takes no bytes for longer is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a session which sends nothing new waits for answers to its ledger calls.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// Ledger calls that are written together at most.
const MAXIMUM_CALLS_PER_WRITE: usize = 256;

/// What a session tells the manager.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    /// The handshake is done.
    Connected,
    /// The relay proved that the state in force is current.
    LeaseRenewed,
    /// The relay stops.
    GoAway,
    /// The session ended; with the error unless it was asked to.
    Ended(Result<(), SessionError>),
}

/// What the manager tells a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionCommand {
    /// Observations go by this session.
    Activate,
    /// Send nothing new, end once the ledger calls are answered.
    Drain,
    /// Tell the relay that the agent stops, and end.
    Leave,
}

/// Why a session ended.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum SessionError {
    /// {0}
    Wire(#[from] WireError),
    /// send to relay {peer}: it takes no bytes
    SendTimeout {
        /// The relay.
        peer: SocketAddr,
    },
    /// receive from relay {peer}: its update would go back to an older configuration
    Reverted {
        /// The relay.
        peer: SocketAddr,
    },
}

/// The session's ends of its channels.
pub(crate) struct SessionChannels {
    pub(crate) commands: mpsc::Receiver<SessionCommand>,
    pub(crate) calls: mpsc::Receiver<LedgerCall>,
    pub(crate) events: mpsc::UnboundedSender<(SessionId, SessionEvent)>,
}

struct Session {
    shared: Arc<Shared>,
    id: SessionId,
    peer: SocketAddr,
    connection: Connection<RelayToAgent, AgentToRelay>,
    channels: SessionChannels,
    open_calls: HashMap<u64, oneshot::Sender<LedgerReply>>,
    last_call: u64,
    mode: Mode,
    counted_received: u64,
    counted_sent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Candidate,
    Active,
    Draining,
    Left,
}

/// Runs one session until it ends; the result is sent as [`SessionEvent::Ended`].
pub(crate) async fn run(
    shared: Arc<Shared>,
    id: SessionId,
    peer: SocketAddr,
    channels: SessionChannels,
) {
    let events = channels.events.clone();
    let result = connect_and_serve(shared, id, peer, channels).await;
    // The manager may be gone already.
    let _ = events.send((id, SessionEvent::Ended(result)));
}

async fn connect_and_serve(
    shared: Arc<Shared>,
    id: SessionId,
    peer: SocketAddr,
    channels: SessionChannels,
) -> Result<(), SessionError> {
    let connection = connect_from(
        shared.config.connect_from,
        peer,
        &shared.hello(),
        Role::Relay,
    )
    .await?;
    let mut session = Session {
        shared,
        id,
        peer,
        connection,
        channels,
        open_calls: HashMap::new(),
        last_call: 0,
        mode: Mode::Candidate,
        counted_received: 0,
        counted_sent: 0,
    };
    session.serve().await
}

impl Session {
    async fn serve(&mut self) -> Result<(), SessionError> {
        self.report(SessionEvent::Connected);
        self.feed_watch().await?;
        self.flush().await?;
        let mut lease_timer = self.lease_timer();
        let drain_limit = Instant::now() + Duration::from_secs(u32::MAX.into());
        let mut drain_limit = Box::pin(sleep_until(drain_limit));
        loop {
            let drained = self.mode == Mode::Draining && self.open_calls.is_empty();
            if drained || self.mode == Mode::Left {
                return Ok(());
            }
            let active = self.mode == Mode::Active;
            tokio::select! {
                message = self.connection.reader.receive() => self.handle(message?).await?,
                command = self.channels.commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    drain_limit.as_mut().reset(Instant::now() + DRAIN_LIMIT);
                    self.follow(command).await?;
                }
                Some(call) = self.channels.calls.recv(), if self.mode != Mode::Draining => {
                    self.send_calls(call).await?;
                }
                _ = lease_timer.tick() => self.on_lease_timer().await?,
                () = observations_due(&self.shared), if active => self.send_observations().await?,
                () = &mut drain_limit, if self.mode == Mode::Draining => return Ok(()),
            }
        }
    }

    fn lease_timer(&self) -> Interval {
        let period = Duration::from_millis(self.shared.config.lease_request_interval_ms);
        let mut timer = interval(period);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        timer
    }

    async fn follow(&mut self, command: SessionCommand) -> Result<(), SessionError> {
        match command {
            SessionCommand::Activate => self.mode = Mode::Active,
            SessionCommand::Drain => self.start_drain().await?,
            SessionCommand::Leave => {
                self.feed(&AgentToRelay::Leave).await?;
                self.flush().await?;
                self.mode = Mode::Left;
            }
        }
        Ok(())
    }

    /// Calls that were handed to this session before it was replaced are still sent by it.
    async fn start_drain(&mut self) -> Result<(), SessionError> {
        self.channels.calls.close();
        while let Some(call) = self.channels.calls.recv().await {
            self.send_calls(call).await?;
        }
        self.mode = Mode::Draining;
        Ok(())
    }

    async fn handle(&mut self, message: RelayToAgent) -> Result<(), SessionError> {
        self.count_bytes();
        match message {
            RelayToAgent::Ledger { call, reply } => self.answer(call, reply),
            RelayToAgent::GoAway => self.report(SessionEvent::GoAway),
            _ if self.mode == Mode::Draining => {}
            RelayToAgent::Update(update) => self.apply(update).await?,
            RelayToAgent::Lease(grant) => {
                if self.shared.granted(&grant) {
                    self.report(SessionEvent::LeaseRenewed);
                }
            }
            RelayToAgent::Hint(observations) => self.shared.hint(&observations),
        }
        Ok(())
    }

    async fn apply(&mut self, update: StateUpdate) -> Result<(), SessionError> {
        let result = self.shared.apply(update);
        match result.fit {
            UpdateCheck::Applies => self.feed_acknowledgement().await?,
            UpdateCheck::Stale => return Ok(()),
            UpdateCheck::Gap => self.feed_watch().await?,
            UpdateCheck::Reverted => return Err(SessionError::Reverted { peer: self.peer }),
        }
        self.flush().await?;
        if result.lease_renewed {
            self.report(SessionEvent::LeaseRenewed);
        }
        Ok(())
    }

    fn answer(&mut self, call: u64, reply: LedgerReply) {
        if let Some(answer) = self.open_calls.remove(&call) {
            // The caller may have given up.
            let _ = answer.send(reply);
        }
    }

    async fn send_calls(&mut self, first: LedgerCall) -> Result<(), SessionError> {
        self.feed_call(first).await?;
        for _ in 1..MAXIMUM_CALLS_PER_WRITE {
            match self.channels.calls.try_recv() {
                Ok(call) => self.feed_call(call).await?,
                Err(_) => break,
            }
        }
        self.flush().await
    }

    async fn feed_call(&mut self, call: LedgerCall) -> Result<(), SessionError> {
        let limit = self.shared.config.maximum_ledger_calls as usize;
        if call.answer.is_closed() || self.open_calls.len() >= limit {
            // Dropping the call answers it as unavailable at once.
            return Ok(());
        }
        self.last_call += 1;
        self.open_calls.insert(self.last_call, call.answer);
        let message = AgentToRelay::Ledger {
            call: self.last_call,
            request: call.request,
        };
        self.feed(&message).await
    }

    async fn on_lease_timer(&mut self) -> Result<(), SessionError> {
        self.open_calls.retain(|_, answer| !answer.is_closed());
        if self.mode == Mode::Draining {
            return Ok(());
        }
        // The moment is taken before the write; see `Shared::request_lease`.
        let nonce = self.shared.request_lease();
        self.feed(&AgentToRelay::RequestLease { nonce }).await?;
        self.flush().await
    }

    async fn send_observations(&mut self) -> Result<(), SessionError> {
        let observations = self.shared.take_observations();
        if observations.is_empty() {
            return Ok(());
        }
        self.feed(&AgentToRelay::Observe(observations)).await?;
        self.flush().await
    }

    /// Asks for updates; the relay learns what this agent has in force.
    async fn feed_watch(&mut self) -> Result<(), SessionError> {
        let (revision, version) = self.shared.position();
        let identity = &self.shared.identity;
        let watch = AgentToRelay::Watch {
            agent: identity.agent.clone(),
            placement: identity.placement.clone(),
            interest: identity.interest.clone(),
            revision,
        };
        self.feed(&watch).await?;
        if version > 0 {
            self.feed_acknowledgement().await?;
        }
        Ok(())
    }

    async fn feed_acknowledgement(&mut self) -> Result<(), SessionError> {
        let (revision, configuration_version) = self.shared.position();
        let message = AgentToRelay::Acknowledge {
            revision,
            configuration_version,
        };
        self.feed(&message).await
    }

    async fn feed(&mut self, message: &AgentToRelay) -> Result<(), SessionError> {
        let sent = timeout(SEND_TIMEOUT, self.connection.writer.feed(message)).await;
        self.sent(sent)
    }

    async fn flush(&mut self) -> Result<(), SessionError> {
        let sent = timeout(SEND_TIMEOUT, self.connection.writer.flush()).await;
        self.count_bytes();
        self.sent(sent)
    }

    fn sent(
        &self,
        result: Result<Result<(), WireError>, tokio::time::error::Elapsed>,
    ) -> Result<(), SessionError> {
        match result {
            Ok(written) => Ok(written?),
            Err(_) => Err(SessionError::SendTimeout { peer: self.peer }),
        }
    }

    fn count_bytes(&mut self) {
        let received = self.connection.reader.received_bytes();
        let sent = self.connection.writer.sent_bytes();
        let metrics = &self.shared.metrics;
        metrics
            .received_bytes
            .inc_by(received - self.counted_received);
        metrics.sent_bytes.inc_by(sent - self.counted_sent);
        self.counted_received = received;
        self.counted_sent = sent;
    }

    fn report(&self, event: SessionEvent) {
        // The manager may be gone already.
        let _ = self.channels.events.send((self.id, event));
    }
}

/// Waits until a report of observations is due. Safe to cancel: nothing is taken.
async fn observations_due(shared: &Shared) {
    loop {
        match shared.observations_due_at() {
            Some(due) => {
                sleep_until(shared.clock.instant(due)).await;
                return;
            }
            None => shared.observed.notified().await,
        }
    }
}
