//! The connection to control: updates and proofs down, statuses, observations and ledger calls up.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_wire::{
    Connection, ControlToRelay, LeaseGrant, LeaseRequests, RelayToControl, Role, StateUpdate,
    UpdateFit, WireError, connect_from,
};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep, sleep_until, timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    control::{
        choice::{ControlChoice, LinkEnd},
        ledger::LinkId,
    },
    hub::Hub,
};

/// Time that a write to control may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait when no control replica is known; settings are checked, so this is not expected.
const NO_REPLICA_WAIT: Duration = Duration::from_secs(1);

type ControlConnection = Connection<ControlToRelay, RelayToControl>;

/// Why a connection to control ended by an error.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum LinkError {
    /// {0}
    Wire(#[from] WireError),
    /// send to control {peer}: it takes no bytes
    SendTimeout {
        /// The replica.
        peer: SocketAddr,
    },
    /// receive from control {peer}: its update would go back to an older configuration
    Reverted {
        /// The replica.
        peer: SocketAddr,
    },
}

struct Link {
    hub: Arc<Hub>,
    id: LinkId,
    peer: SocketAddr,
    connection: ControlConnection,
    requests: LeaseRequests,
    /// Whether the replica has proved that it leads.
    leads: bool,
    last_proof_at: Duration,
    counted_received: u64,
    counted_sent: u64,
}

/// Keeps a connection to control until `stop`; follows the leader.
pub(crate) async fn run(hub: Arc<Hub>, stop: CancellationToken) {
    let config = &hub.config;
    let mut choice = ControlChoice::new(
        config.control.clone(),
        Duration::from_millis(config.retry_minimum_ms),
        Duration::from_millis(config.retry_maximum_ms),
        rand::random(),
    );
    let drains = TaskTracker::new();
    let keep_connected = async {
        loop {
            let wait = connect_once(&hub, &mut choice, &drains).await;
            sleep(wait).await;
        }
    };
    tokio::select! {
        () = keep_connected => {}
        () = stop.cancelled() => {}
    }
}

/// One connection from its start to its end; returns the wait before the next one.
async fn connect_once(
    hub: &Arc<Hub>,
    choice: &mut ControlChoice,
    drains: &TaskTracker,
) -> Duration {
    let Some(peer) = choice.next_replica() else {
        return NO_REPLICA_WAIT;
    };
    hub.metrics.control_connections.inc();
    let mut link = match Link::open(hub.clone(), peer).await {
        Ok(link) => link,
        Err(error) => {
            count_error(hub, &error);
            return choice.ended(LinkEnd::Failed);
        }
    };
    let end = match link.serve(choice).await {
        Ok(end) => end,
        Err(error) => {
            count_error(hub, &error);
            LinkEnd::Failed
        }
    };
    match end {
        LinkEnd::LeaderIs(_) | LinkEnd::GoAway => {
            drains.spawn(link.drain());
        }
        LinkEnd::NoProof | LinkEnd::Failed => hub.link_ended(link.id),
    }
    choice.ended(end)
}

fn count_error(hub: &Hub, error: &LinkError) {
    hub.metrics.control_errors.inc();
    log::warn!("connection to control ended: {error}");
}

impl Link {
    async fn open(hub: Arc<Hub>, peer: SocketAddr) -> Result<Self, LinkError> {
        let connection =
            connect_from(hub.config.connect_from, peer, &hub.hello(), Role::Control).await?;
        let now = hub.clock.now();
        Ok(Self {
            id: hub.new_link(),
            hub,
            peer,
            connection,
            requests: LeaseRequests::default(),
            leads: false,
            last_proof_at: now,
            counted_received: 0,
            counted_sent: 0,
        })
    }

    async fn serve(&mut self, choice: &mut ControlChoice) -> Result<LinkEnd, LinkError> {
        self.feed_watch().await?;
        self.flush().await?;
        let mut lease_timer = self.lease_timer();
        let hub = self.hub.clone();
        loop {
            tokio::select! {
                message = self.connection.reader.receive() => {
                    if let Some(end) = self.handle(message?, choice).await? {
                        return Ok(end);
                    }
                }
                _ = lease_timer.tick() => {
                    if self.has_no_proof() {
                        return Ok(LinkEnd::NoProof);
                    }
                    self.request_proof().await?;
                }
                () = outgoing_due(&hub), if self.leads => self.send_outgoing().await?,
            }
        }
    }

    fn lease_timer(&self) -> Interval {
        let mut timer = interval(Duration::from_millis(self.hub.config.lease_interval_ms));
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        timer
    }

    async fn handle(
        &mut self,
        message: ControlToRelay,
        choice: &mut ControlChoice,
    ) -> Result<Option<LinkEnd>, LinkError> {
        self.count_bytes();
        match message {
            ControlToRelay::Update(update) => self.apply(update).await?,
            ControlToRelay::Lease(grant) => self.take_proof(&grant, choice),
            ControlToRelay::Ledger(replies) => self.hub.ledger_answered(replies),
            ControlToRelay::NotLeader { leader } => return Ok(self.not_leader(leader)),
            ControlToRelay::GoAway => return Ok(Some(LinkEnd::GoAway)),
        }
        Ok(None)
    }

    async fn apply(&mut self, update: StateUpdate) -> Result<(), LinkError> {
        match self.hub.apply(update) {
            UpdateFit::Applies | UpdateFit::Old => Ok(()),
            UpdateFit::Gap => {
                self.feed_watch().await?;
                self.flush().await
            }
            UpdateFit::Reverted => Err(LinkError::Reverted { peer: self.peer }),
        }
    }

    fn take_proof(&mut self, grant: &LeaseGrant, choice: &mut ControlChoice) {
        let Some(proof) = self.requests.granted(grant) else {
            return;
        };
        self.last_proof_at = self.hub.clock.now();
        self.hub.metrics.proofs.inc();
        self.hub.proof.send_if_modified(|newest| {
            let newer = newest.is_none_or(|newest| proof.is_newer_than(&newest));
            if newer {
                *newest = Some(proof);
            }
            newer
        });
        if !self.leads {
            self.leads = true;
            choice.leads();
            // A new leader does not know the agents behind this relay.
            self.hub
                .update_directory(|directory| directory.report_all());
        }
    }

    /// A replica that knows no leader is kept for its updates, until it has given no proof for too
    /// long.
    fn not_leader(&mut self, leader: Option<SocketAddr>) -> Option<LinkEnd> {
        let other = leader.filter(|leader| *leader != self.peer);
        other.map(LinkEnd::LeaderIs)
    }

    fn has_no_proof(&self) -> bool {
        let limit = Duration::from_millis(self.hub.config.lease_timeout_ms);
        self.hub.clock.now() > self.last_proof_at + limit
    }

    async fn request_proof(&mut self) -> Result<(), LinkError> {
        // The moment must be taken before the write; see `LeaseRequests::request`.
        let nonce = self.requests.request(self.hub.clock.now());
        self.feed(&RelayToControl::RequestLease { nonce }).await?;
        self.flush().await
    }

    async fn send_outgoing(&mut self) -> Result<(), LinkError> {
        let now = self.hub.clock.now();
        self.feed_ledger(now).await?;
        self.feed_statuses(now).await?;
        self.feed_observations(now).await?;
        self.flush().await
    }

    async fn feed_ledger(&mut self, now: Duration) -> Result<(), LinkError> {
        let batch = {
            let mut ledger = self.hub.ledger();
            match ledger.due_at() {
                Some(due) if due <= now => ledger.take_batch(self.id),
                _ => return Ok(()),
            }
        };
        self.hub.metrics.ledger_batches.inc();
        self.feed(&RelayToControl::Ledger(batch)).await
    }

    async fn feed_statuses(&mut self, now: Duration) -> Result<(), LinkError> {
        let report = {
            let mut directory = self.hub.directory();
            match directory.due_at() {
                Some(due) if due <= now => directory.take_report(now),
                _ => BTreeMap::new(),
            }
        };
        if report.is_empty() {
            return Ok(());
        }
        self.feed(&RelayToControl::Agents(report)).await
    }

    async fn feed_observations(&mut self, now: Duration) -> Result<(), LinkError> {
        let observations = {
            let mut queue = self.hub.observations();
            match queue.due_at() {
                Some(due) if due <= now => queue.take(now),
                _ => Vec::new(),
            }
        };
        if observations.is_empty() {
            return Ok(());
        }
        self.feed(&RelayToControl::Observe { observations }).await
    }

    async fn feed_watch(&mut self) -> Result<(), LinkError> {
        let watch = RelayToControl::Watch {
            relay: self.hub.relay.clone(),
            revision: *self.hub.revision.borrow(),
        };
        self.feed(&watch).await
    }

    /// Waits for the answers to the ledger calls that were sent on this connection.
    async fn drain(mut self) {
        let limit = Duration::from_millis(self.hub.config.ledger_timeout_ms);
        // At the limit, or when the connection ends, the calls are answered as unavailable.
        let _ = timeout(limit, self.receive_answers()).await;
        self.hub.link_ended(self.id);
    }

    async fn receive_answers(&mut self) -> Result<(), WireError> {
        while self.hub.ledger().in_flight(self.id) > 0 {
            if let ControlToRelay::Ledger(replies) = self.connection.reader.receive().await? {
                self.hub.ledger_answered(replies);
            }
        }
        Ok(())
    }

    async fn feed(&mut self, message: &RelayToControl) -> Result<(), LinkError> {
        let written = timeout(SEND_TIMEOUT, self.connection.writer.feed(message)).await;
        self.written(written)
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        let written = timeout(SEND_TIMEOUT, self.connection.writer.flush()).await;
        self.count_bytes();
        self.written(written)
    }

    fn written(
        &self,
        result: Result<Result<(), WireError>, tokio::time::error::Elapsed>,
    ) -> Result<(), LinkError> {
        match result {
            Ok(written) => Ok(written?),
            Err(_) => Err(LinkError::SendTimeout { peer: self.peer }),
        }
    }

    fn count_bytes(&mut self) {
        let received = self.connection.reader.received_bytes();
        let sent = self.connection.writer.sent_bytes();
        let metrics = &self.hub.metrics;
        metrics
            .control_received_bytes
            .inc_by(received - self.counted_received);
        metrics.control_sent_bytes.inc_by(sent - self.counted_sent);
        self.counted_received = received;
        self.counted_sent = sent;
    }
}

/// Waits until something is due to be sent to the leader. Safe to cancel: nothing is taken.
async fn outgoing_due(hub: &Hub) {
    loop {
        match hub.outgoing_due_at() {
            Some(due) if due <= hub.clock.now() => return,
            Some(due) => {
                // More calls may fill the batch before it is due.
                tokio::select! {
                    () = sleep_until(hub.clock.instant(due)) => return,
                    () = hub.outgoing.notified() => {}
                }
            }
            None => hub.outgoing.notified().await,
        }
    }
}
