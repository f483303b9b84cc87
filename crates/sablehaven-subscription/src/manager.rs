//! Opens, activates and closes relay sessions as the supervisor decides.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Action, SessionId, Supervisor,
    session::{self, SessionChannels, SessionCommand, SessionEvent},
    shared::{ActiveSession, LedgerCall, Shared},
};

/// Maximum number of queued commands per session.
const COMMAND_CAPACITY: usize = 8;

/// Maximum time between two ticks of the supervisor.
const MAXIMUM_SLEEP: Duration = Duration::from_secs(60);

/// Timeout for sending the `Leave` message when the subscription stops.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the sessions of one subscription.
pub(crate) struct Manager {
    shared: Arc<Shared>,
    supervisor: Supervisor,
    sessions: HashMap<SessionId, SessionHandle>,
    events: mpsc::UnboundedReceiver<(SessionId, SessionEvent)>,
    event_sender: mpsc::UnboundedSender<(SessionId, SessionEvent)>,
}

/// The manager's end of a session. Dropping it aborts the session.
struct SessionHandle {
    commands: mpsc::Sender<SessionCommand>,
    calls: mpsc::Sender<LedgerCall>,
    task: JoinHandle<()>,
}

impl Drop for SessionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Manager {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let settings = shared.config.supervisor_settings();
        let relays = shared.config.relays.len();
        let (event_sender, events) = mpsc::unbounded_channel();
        Self {
            shared,
            supervisor: Supervisor::new(relays, settings, rand::random()),
            sessions: HashMap::new(),
            events,
            event_sender,
        }
    }

    /// Runs until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            self.tick();
            let wake_at = self.wake_at();
            tokio::select! {
                Some((session, event)) = self.events.recv() => self.on_event(session, event),
                () = sleep_until(self.shared.clock.instant(wake_at)) => {}
                () = stop.cancelled() => break,
            }
        }
        self.send_leave().await;
    }

    /// Drops expired hints and runs the supervisor.
    fn tick(&mut self) {
        self.shared.expire_hints();
        let now = self.shared.clock.now();
        let actions = self.supervisor.tick(now, self.shared.lease_health());
        self.perform(actions);
    }

    /// Returns when [`Self::tick`] must be called next.
    fn wake_at(&self) -> Duration {
        let now = self.shared.clock.now();
        let lease = self.shared.lease_health();
        let supervisor_at = self.supervisor.wake_at(now, lease);
        let hint_expires_at = self.shared.next_hint_expiry();
        let earliest = [supervisor_at, hint_expires_at].into_iter().flatten().min();
        earliest
            .unwrap_or(now + MAXIMUM_SLEEP)
            .min(now + MAXIMUM_SLEEP)
    }

    fn on_event(&mut self, session: SessionId, event: SessionEvent) {
        let now = self.shared.clock.now();
        let actions = match event {
            SessionEvent::Connected => self.supervisor.connected(session, now),
            SessionEvent::LeaseRenewed => self.supervisor.lease_renewed(session, now),
            SessionEvent::GoAway => self.supervisor.go_away(session, now),
            SessionEvent::Ended(result) => {
                if let Err(error) = result {
                    self.shared.metrics.session_errors.inc();
                    log::warn!("relay session {session} failed: {error}");
                }
                self.remove_session(session);
                self.supervisor.ended(session, now)
            }
        };
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { session, relay } => self.open_session(session, relay),
                Action::Activate(session) => self.activate_session(session),
                Action::Drain(session) => self.send_command(session, SessionCommand::Drain),
                Action::Close(session) => self.remove_session(session),
            }
        }
    }

    fn open_session(&mut self, session: SessionId, relay: usize) {
        let Some(&address) = self.shared.config.relays.get(relay) else {
            return;
        };
        let (commands, command_receiver) = mpsc::channel(COMMAND_CAPACITY);
        let call_capacity = self.shared.config.maximum_ledger_calls as usize;
        let (calls, call_receiver) = mpsc::channel(call_capacity);
        let channels = SessionChannels {
            commands: command_receiver,
            calls: call_receiver,
            events: self.event_sender.clone(),
        };
        let shared = self.shared.clone();
        let task = tokio::spawn(session::run(shared, session, address, channels));
        let handle = SessionHandle {
            commands,
            calls,
            task,
        };
        self.sessions.insert(session, handle);
    }

    fn activate_session(&mut self, session: SessionId) {
        let Some(handle) = self.sessions.get(&session) else {
            return;
        };
        let active = ActiveSession {
            session,
            calls: handle.calls.clone(),
        };
        self.shared.active.send_replace(Some(active));
        self.shared.metrics.relay_changes.inc();
        self.send_command(session, SessionCommand::Activate);
    }

    /// Sends a command to a session. A session whose command queue is full does not respond and is
    /// ended.
    fn send_command(&mut self, session: SessionId, command: SessionCommand) {
        let Some(handle) = self.sessions.get(&session) else {
            return;
        };
        if handle.commands.try_send(command).is_err() {
            self.remove_session(session);
        }
    }

    /// Ends a session. Its pending ledger calls fail as unavailable.
    fn remove_session(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        self.shared.active.send_if_modified(|active| {
            let was_active = active
                .as_ref()
                .is_some_and(|active| active.session == session);
            if was_active {
                *active = None;
            }
            was_active
        });
    }

    /// Tells the active relay that the agent is stopping, so that nothing waits for its
    /// acknowledgements, and waits until the message is sent.
    async fn send_leave(mut self) {
        let active = self.shared.active.borrow().clone();
        let Some(session) = active.map(|active| active.session) else {
            return;
        };
        self.send_command(session, SessionCommand::Leave);
        let ended = async {
            while let Some((ended, event)) = self.events.recv().await {
                if ended == session && matches!(event, SessionEvent::Ended(_)) {
                    return;
                }
            }
        };
        // If the message is not sent, the relay still removes the agent, but later.
        let _ = timeout(LEAVE_TIMEOUT, ended).await;
        self.remove_session(session);
    }
}
