//! Maintains the connection to control. It receives updates, proofs and ledger replies, and sends
//! agent statuses, observations and ledger calls.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_wire::{
    Connection, ControlToRelay, LeaseGrant, LeaseRequests, RelayToControl, Role, StateUpdate,
    UpdateCheck, WireError, connect_from,
};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep, sleep_until, timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    control::{
        ledger::LinkId,
        replica_selector::{LinkEnd, ReplicaSelector},
    },
    hub::Hub,
};

/// Timeout of a write to control.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next attempt if no control replica is known. The settings require at least one
/// address, so this is not expected.
const NO_REPLICA_RETRY_DELAY: Duration = Duration::from_secs(1);

type ControlConnection = Connection<ControlToRelay, RelayToControl>;

/// Reason why a connection to control ended with an error.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum LinkError {
    /// {0}
    Wire(#[from] WireError),
    /// send to control {peer}: timed out
    SendTimeout {
        /// Address of the replica.
        peer: SocketAddr,
    },
    /// receive from control {peer}: update would revert to an older configuration
    Reverted {
        /// Address of the replica.
        peer: SocketAddr,
    },
}

/// A connection to one control replica.
struct Link {
    hub: Arc<Hub>,
    id: LinkId,
    peer: SocketAddr,
    connection: ControlConnection,
    lease_requests: LeaseRequests,
    /// Whether the replica has proved that it is the leader.
    is_leader: bool,
    last_proof_at: Duration,
    /// Received bytes that the metrics already include.
    counted_received_bytes: u64,
    /// Sent bytes that the metrics already include.
    counted_sent_bytes: u64,
}

/// Maintains a connection to control until `stop` is cancelled. It follows changes of leader.
pub(crate) async fn run(hub: Arc<Hub>, stop: CancellationToken) {
    let config = &hub.config;
    let mut selector = ReplicaSelector::new(
        config.control.clone(),
        Duration::from_millis(config.retry_minimum_ms),
        Duration::from_millis(config.retry_maximum_ms),
        rand::random(),
    );
    let draining_links = TaskTracker::new();
    let reconnect_loop = async {
        loop {
            let wait = connect_once(&hub, &mut selector, &draining_links).await;
            sleep(wait).await;
        }
    };
    tokio::select! {
        () = reconnect_loop => {}
        () = stop.cancelled() => {}
    }
}

/// Runs one connection until it ends. Returns the delay before the next attempt.
async fn connect_once(
    hub: &Arc<Hub>,
    selector: &mut ReplicaSelector,
    draining_links: &TaskTracker,
) -> Duration {
    let Some(peer) = selector.next_replica() else {
        return NO_REPLICA_RETRY_DELAY;
    };
    hub.metrics.control_connections.inc();
    let mut link = match Link::open(hub.clone(), peer).await {
        Ok(link) => link,
        Err(error) => {
            record_error(hub, &error);
            return selector.connection_ended(LinkEnd::Failed);
        }
    };
    let end = match link.serve(selector).await {
        Ok(end) => end,
        Err(error) => {
            record_error(hub, &error);
            LinkEnd::Failed
        }
    };
    match end {
        LinkEnd::Redirected(_) | LinkEnd::GoAway => {
            draining_links.spawn(link.drain());
        }
        LinkEnd::ProofTimeout | LinkEnd::Failed => hub.close_link(link.id),
    }
    selector.connection_ended(end)
}

fn record_error(hub: &Hub, error: &LinkError) {
    hub.metrics.control_errors.inc();
    log::warn!("connection to control failed: {error}");
}

impl Link {
    async fn open(hub: Arc<Hub>, peer: SocketAddr) -> Result<Self, LinkError> {
        let connection =
            connect_from(hub.config.connect_from, peer, &hub.hello(), Role::Control).await?;
        let now = hub.clock.now();
        Ok(Self {
            id: hub.next_link_id(),
            hub,
            peer,
            connection,
            lease_requests: LeaseRequests::default(),
            is_leader: false,
            last_proof_at: now,
            counted_received_bytes: 0,
            counted_sent_bytes: 0,
        })
    }

    async fn serve(&mut self, selector: &mut ReplicaSelector) -> Result<LinkEnd, LinkError> {
        self.feed_watch().await?;
        self.flush().await?;
        let mut lease_timer = self.lease_timer();
        let hub = self.hub.clone();
        loop {
            tokio::select! {
                message = self.connection.reader.receive() => {
                    if let Some(end) = self.handle(message?, selector).await? {
                        return Ok(end);
                    }
                }
                _ = lease_timer.tick() => {
                    if self.is_proof_overdue() {
                        return Ok(LinkEnd::ProofTimeout);
                    }
                    self.request_proof().await?;
                }
                () = outgoing_due(&hub), if self.is_leader => self.send_outgoing().await?,
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
        selector: &mut ReplicaSelector,
    ) -> Result<Option<LinkEnd>, LinkError> {
        self.count_bytes();
        match message {
            ControlToRelay::Update(update) => self.apply(update).await?,
            ControlToRelay::Lease(grant) => self.accept_proof(&grant, selector),
            ControlToRelay::Ledger(replies) => self.hub.complete_ledger_calls(replies),
            ControlToRelay::NotLeader { leader } => return Ok(self.redirect_to(leader)),
            ControlToRelay::GoAway => return Ok(Some(LinkEnd::GoAway)),
        }
        Ok(None)
    }

    async fn apply(&mut self, update: StateUpdate) -> Result<(), LinkError> {
        match self.hub.apply(update) {
            UpdateCheck::Applies | UpdateCheck::Stale => Ok(()),
            UpdateCheck::Gap => {
                self.feed_watch().await?;
                self.flush().await
            }
            UpdateCheck::Reverted => Err(LinkError::Reverted { peer: self.peer }),
        }
    }

    fn accept_proof(&mut self, grant: &LeaseGrant, selector: &mut ReplicaSelector) {
        let Some(proof) = self.lease_requests.accept_grant(grant) else {
            return;
        };
        self.last_proof_at = self.hub.clock.now();
        self.hub.metrics.proofs.inc();
        self.hub.proof.send_if_modified(|latest| {
            let is_newer = latest.is_none_or(|latest| proof.is_newer_than(&latest));
            if is_newer {
                *latest = Some(proof);
            }
            is_newer
        });
        if !self.is_leader {
            self.is_leader = true;
            selector.confirm_leader();
            // A new leader does not know the agents of this relay.
            self.hub
                .update_directory(|directory| directory.report_all());
        }
    }

    /// Ends the link only if the replica names another replica as the leader. If it knows no
    /// leader, the link stays open to receive updates until the proof timeout has passed.
    fn redirect_to(&mut self, leader: Option<SocketAddr>) -> Option<LinkEnd> {
        let other = leader.filter(|leader| *leader != self.peer);
        other.map(LinkEnd::Redirected)
    }

    fn is_proof_overdue(&self) -> bool {
        let limit = Duration::from_millis(self.hub.config.lease_timeout_ms);
        self.hub.clock.now() > self.last_proof_at + limit
    }

    async fn request_proof(&mut self) -> Result<(), LinkError> {
        // The time must be read before the write; see `LeaseRequests::record_request`.
        let nonce = self.lease_requests.record_request(self.hub.clock.now());
        self.feed(&RelayToControl::RequestLease { nonce }).await?;
        self.flush().await
    }

    async fn send_outgoing(&mut self) -> Result<(), LinkError> {
        let now = self.hub.clock.now();
        self.feed_ledger_calls(now).await?;
        self.feed_statuses(now).await?;
        self.feed_observations(now).await?;
        self.flush().await
    }

    async fn feed_ledger_calls(&mut self, now: Duration) -> Result<(), LinkError> {
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
                Some(due) if due <= now => queue.take_report(now),
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

    /// Waits for the replies to the ledger calls that were sent on this connection.
    async fn drain(mut self) {
        let limit = Duration::from_millis(self.hub.config.ledger_timeout_ms);
        // On timeout, or when the connection ends, the remaining calls are answered as unavailable.
        let _ = timeout(limit, self.receive_ledger_replies()).await;
        self.hub.close_link(self.id);
    }

    async fn receive_ledger_replies(&mut self) -> Result<(), WireError> {
        while self.hub.ledger().in_flight_count(self.id) > 0 {
            if let ControlToRelay::Ledger(replies) = self.connection.reader.receive().await? {
                self.hub.complete_ledger_calls(replies);
            }
        }
        Ok(())
    }

    async fn feed(&mut self, message: &RelayToControl) -> Result<(), LinkError> {
        let written = timeout(SEND_TIMEOUT, self.connection.writer.feed(message)).await;
        self.write_result(written)
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        let written = timeout(SEND_TIMEOUT, self.connection.writer.flush()).await;
        self.count_bytes();
        self.write_result(written)
    }

    fn write_result(
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
            .inc_by(received - self.counted_received_bytes);
        metrics
            .control_sent_bytes
            .inc_by(sent - self.counted_sent_bytes);
        self.counted_received_bytes = received;
        self.counted_sent_bytes = sent;
    }
}

/// Waits until something is due to be sent to the leader. Cancel safe, since nothing is removed from
/// the queues.
async fn outgoing_due(hub: &Hub) {
    loop {
        match hub.outgoing_due_at() {
            Some(due) if due <= hub.clock.now() => return,
            Some(due) => {
                // `due` is checked again when more calls arrive, since they may fill the batch
                // earlier.
                tokio::select! {
                    () = sleep_until(hub.clock.instant(due)) => return,
                    () = hub.outgoing.notified() => {}
                }
            }
            None => hub.outgoing.notified().await,
        }
    }
}
