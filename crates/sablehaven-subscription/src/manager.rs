//! Runs the supervisor's decisions over sessions.

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

/// Commands that wait for a session at most.
const COMMAND_CAPACITY: usize = 8;

/// Longest sleep of the manager.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// Time that a planned stop waits for the goodbye to be written.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

pub(crate) struct Manager {
    shared: Arc<Shared>,
    supervisor: Supervisor,
    sessions: HashMap<SessionId, SessionHandle>,
    events: mpsc::UnboundedReceiver<(SessionId, SessionEvent)>,
    event_sender: mpsc::UnboundedSender<(SessionId, SessionEvent)>,
}

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

    /// Runs until the subscription stops.
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
        self.leave().await;
    }

    fn tick(&mut self) {
        self.shared.expire_hints();
        let now = self.shared.clock.now();
        let actions = self.supervisor.tick(now, self.shared.lease_health());
        self.carry_out(actions);
    }

    fn wake_at(&self) -> Duration {
        let now = self.shared.clock.now();
        let lease = self.shared.lease_health();
        let wake_at = self.supervisor.wake_at(now, lease);
        let hint_at = self.shared.next_hint_expiry();
        let soonest = [wake_at, hint_at].into_iter().flatten().min();
        soonest
            .unwrap_or(now + LONGEST_SLEEP)
            .min(now + LONGEST_SLEEP)
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
                    log::warn!("relay session {session} ended: {error}");
                }
                self.forget(session);
                self.supervisor.ended(session, now)
            }
        };
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { session, relay } => self.open(session, relay),
                Action::Activate(session) => self.activate(session),
                Action::Drain(session) => self.command(session, SessionCommand::Drain),
                Action::Close(session) => self.forget(session),
            }
        }
    }

    fn open(&mut self, session: SessionId, relay: usize) {
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

    fn activate(&mut self, session: SessionId) {
        let Some(handle) = self.sessions.get(&session) else {
            return;
        };
        let active = ActiveSession {
            session,
            calls: handle.calls.clone(),
        };
        self.shared.active.send_replace(Some(active));
        self.shared.metrics.relay_changes.inc();
        self.command(session, SessionCommand::Activate);
    }

    /// A session whose queue of commands is full takes nothing more; it is ended.
    fn command(&mut self, session: SessionId, command: SessionCommand) {
        let Some(handle) = self.sessions.get(&session) else {
            return;
        };
        if handle.commands.try_send(command).is_err() {
            self.forget(session);
        }
    }

    /// Ends a session; its ledger calls end without an answer.
    fn forget(&mut self, session: SessionId) {
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

    /// Says goodbye, so that nobody waits for this agent any more.
    async fn leave(mut self) {
        let active = self.shared.active.borrow().clone();
        let Some(session) = active.map(|active| active.session) else {
            return;
        };
        self.command(session, SessionCommand::Leave);
        let ended = async {
            while let Some((ended, event)) = self.events.recv().await {
                if ended == session && matches!(event, SessionEvent::Ended(_)) {
                    return;
                }
            }
        };
        // Without a goodbye the relay forgets the agent a little later.
        let _ = timeout(LEAVE_LIMIT, ended).await;
        self.forget(session);
    }
}
