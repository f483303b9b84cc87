//! A session: one connection to a relay.

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

/// Timeout for a write. The session ends if the relay accepts no bytes for this long.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a draining session waits for the replies to its ledger calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of ledger calls that are flushed together.
const MAXIMUM_CALLS_PER_WRITE: usize = 256;

/// Events that a session reports to the manager.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    /// The handshake is complete.
    Connected,
    /// The relay has proved that the state in force is current.
    LeaseRenewed,
    /// The relay is stopping.
    GoAway,
    /// The session has ended, with an error unless it ended as commanded.
    Ended(Result<(), SessionError>),
}

/// Commands from the manager to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionCommand {
    /// Send observations on this session.
    Activate,
    /// Start nothing new, and end once the ledger calls are answered.
    Drain,
    /// Tell the relay that the agent is stopping, and end.
    Leave,
}

/// Why a session ended.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum SessionError {
    /// {0}
    Wire(#[from] WireError),
    /// send to relay {peer}: timed out
    SendTimeout {
        /// The address of the relay.
        peer: SocketAddr,
    },
    /// receive from relay {peer}: update would revert to an older configuration
    Reverted {
        /// The address of the relay.
        peer: SocketAddr,
    },
}

/// The channels between a session and the manager and callers, at the session's end.
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
    /// The reply channels of the ledger calls that are not answered yet, by call number.
    pending_calls: HashMap<u64, oneshot::Sender<LedgerReply>>,
    last_call_number: u64,
    mode: Mode,
    counted_received_bytes: u64,
    counted_sent_bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Not the active session yet.
    Candidate,
    /// The session that sends new ledger calls and observations.
    Active,
    /// Waits for the replies to its ledger calls.
    Draining,
    /// Has sent `Leave` and is about to end.
    Left,
}

/// Runs a session until it ends. The result is reported as [`SessionEvent::Ended`].
pub(crate) async fn run(
    shared: Arc<Shared>,
    id: SessionId,
    peer: SocketAddr,
    channels: SessionChannels,
) {
    let events = channels.events.clone();
    let result = connect_and_serve(shared, id, peer, channels).await;
    // The manager may have ended already.
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
        pending_calls: HashMap::new(),
        last_call_number: 0,
        mode: Mode::Candidate,
        counted_received_bytes: 0,
        counted_sent_bytes: 0,
    };
    session.serve().await
}

impl Session {
    async fn serve(&mut self) -> Result<(), SessionError> {
        self.report(SessionEvent::Connected);
        self.feed_watch().await?;
        self.flush().await?;
        let mut lease_timer = self.lease_timer();
        let drain_deadline = Instant::now() + Duration::from_secs(u32::MAX.into());
        let mut drain_timer = Box::pin(sleep_until(drain_deadline));
        loop {
            let is_drained = self.mode == Mode::Draining && self.pending_calls.is_empty();
            if is_drained || self.mode == Mode::Left {
                return Ok(());
            }
            let is_active = self.mode == Mode::Active;
            tokio::select! {
                message = self.connection.reader.receive() => self.handle(message?).await?,
                command = self.channels.commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    drain_timer.as_mut().reset(Instant::now() + DRAIN_TIMEOUT);
                    self.handle_command(command).await?;
                }
                Some(call) = self.channels.calls.recv(), if self.mode != Mode::Draining => {
                    self.send_calls(call).await?;
                }
                _ = lease_timer.tick() => self.on_lease_timer().await?,
                () = observations_due(&self.shared), if is_active => self.send_observations().await?,
                () = &mut drain_timer, if self.mode == Mode::Draining => return Ok(()),
            }
        }
    }

    fn lease_timer(&self) -> Interval {
        let period = Duration::from_millis(self.shared.config.lease_request_interval_ms);
        let mut timer = interval(period);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        timer
    }

    async fn handle_command(&mut self, command: SessionCommand) -> Result<(), SessionError> {
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

    /// Starts draining. Ledger calls that were queued for this session before it was replaced are still
    /// sent on it.
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
            RelayToAgent::Ledger { call, reply } => self.complete_call(call, reply),
            RelayToAgent::GoAway => self.report(SessionEvent::GoAway),
            _ if self.mode == Mode::Draining => {}
            RelayToAgent::Update(update) => self.apply(update).await?,
            RelayToAgent::Lease(grant) => {
                if self.shared.accept_grant(&grant) {
                    self.report(SessionEvent::LeaseRenewed);
                }
            }
            RelayToAgent::Hint(observations) => self.shared.apply_hints(&observations),
        }
        Ok(())
    }

    async fn apply(&mut self, update: StateUpdate) -> Result<(), SessionError> {
        let result = self.shared.apply(update);
        match result.check {
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

    fn complete_call(&mut self, call: u64, reply: LedgerReply) {
        if let Some(reply_sender) = self.pending_calls.remove(&call) {
            // The caller may have stopped waiting.
            let _ = reply_sender.send(reply);
        }
    }

    /// Sends `first` and the calls queued after it, with one flush.
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
        if call.reply_sender.is_closed() || self.pending_calls.len() >= limit {
            // Dropping the call makes it fail as unavailable immediately.
            return Ok(());
        }
        self.last_call_number += 1;
        self.pending_calls
            .insert(self.last_call_number, call.reply_sender);
        let message = AgentToRelay::Ledger {
            call: self.last_call_number,
            request: call.request,
        };
        self.feed(&message).await
    }

    async fn on_lease_timer(&mut self) -> Result<(), SessionError> {
        self.pending_calls
            .retain(|_, reply_sender| !reply_sender.is_closed());
        if self.mode == Mode::Draining {
            return Ok(());
        }
        // The time must be read before the write; see `Shared::record_lease_request`.
        let nonce = self.shared.record_lease_request();
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

    /// Requests updates, and tells the relay which state this agent has in force.
    async fn feed_watch(&mut self) -> Result<(), SessionError> {
        let (revision, version) = self.shared.applied_versions();
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
        let (revision, configuration_version) = self.shared.applied_versions();
        let message = AgentToRelay::Acknowledge {
            revision,
            configuration_version,
        };
        self.feed(&message).await
    }

    async fn feed(&mut self, message: &AgentToRelay) -> Result<(), SessionError> {
        let sent = timeout(SEND_TIMEOUT, self.connection.writer.feed(message)).await;
        self.check_sent(sent)
    }

    async fn flush(&mut self) -> Result<(), SessionError> {
        let sent = timeout(SEND_TIMEOUT, self.connection.writer.flush()).await;
        self.count_bytes();
        self.check_sent(sent)
    }

    fn check_sent(
        &self,
        result: Result<Result<(), WireError>, tokio::time::error::Elapsed>,
    ) -> Result<(), SessionError> {
        match result {
            Ok(written) => Ok(written?),
            Err(_) => Err(SessionError::SendTimeout { peer: self.peer }),
        }
    }

    /// Adds the bytes transferred since the last call to the metrics.
    fn count_bytes(&mut self) {
        let received = self.connection.reader.received_bytes();
        let sent = self.connection.writer.sent_bytes();
        let metrics = &self.shared.metrics;
        metrics
            .received_bytes
            .inc_by(received - self.counted_received_bytes);
        metrics.sent_bytes.inc_by(sent - self.counted_sent_bytes);
        self.counted_received_bytes = received;
        self.counted_sent_bytes = sent;
    }

    fn report(&self, event: SessionEvent) {
        // The manager may have ended already.
        let _ = self.channels.events.send((self.id, event));
    }
}

/// Waits until a report of observations is due. Cancel safe: no observations are taken.
async fn observations_due(shared: &Shared) {
    loop {
        match shared.observations_due_at() {
            Some(due_at) => {
                sleep_until(shared.clock.instant(due_at)).await;
                return;
            }
            None => shared.observation_added.notified().await,
        }
    }
}
