//! One outgoing connection to another replica, reopened after each failure.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_types::ListingNumber;
use sablehaven_wire::{ConnectTimeout, FrameReader, FrameWriter, PeerMessage};
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use super::{
    introduction::{PeerContext, PeerError, connect},
    links::Links,
    payload::{PeerPayload, decode, encode, keepalive_message, listing_message},
};

/// The delay before a lost connection is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time between two keepalives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The time without any message after which a connection is closed and reopened. If the network drops packets without
/// an error, the kernel would otherwise keep the connection open for many minutes.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time of one write.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A message to send.
#[derive(Debug)]
pub(super) struct Outgoing {
    /// The consensus group, or [`NO_GROUP`](super::payload::NO_GROUP).
    pub(super) group: u32,
    pub(super) payload: PeerPayload,
}

/// Keeps a connection to `address` open and sends the queued messages on it, until the future is dropped.
pub(super) async fn maintain_link(
    context: Arc<PeerContext>,
    links: Arc<Links>,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Outgoing>,
    sender: mpsc::Sender<Outgoing>,
) {
    let mut connect_timeout = ConnectTimeout::default();
    loop {
        let Some(connected) = connect_timeout.attempt(connect(&context, address)).await else {
            continue;
        };
        // Errors are not logged: they are expected while the other replica is down, and `status` shows them.
        if let Ok((connection, remote)) = connected {
            // Messages queued for the previous connection are stale; the replicas send them again.
            while queue.try_recv().is_ok() {}
            links.set_up(address, remote.replica, sender.clone());
            let reader = connection.reader;
            let writer = connection.writer;
            let connection = OpenConnection {
                context: Arc::clone(&context),
                remote_listing: None,
                peer: address.to_string(),
                last_received_at: Instant::now(),
            };
            let _ = connection.run(reader, writer, &mut queue).await;
            links.set_down(address);
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// The state of a connection while it is open.
struct OpenConnection {
    context: Arc<PeerContext>,
    /// The number of the listing that the other replica has; `None` until its first keepalive.
    remote_listing: Option<ListingNumber>,
    /// The address of the other replica, for error messages.
    peer: String,
    last_received_at: Instant,
}

impl OpenConnection {
    /// Sends queued messages, keepalives and listing updates until the connection fails.
    async fn run(
        mut self,
        mut reader: FrameReader<PeerMessage>,
        mut writer: FrameWriter<PeerMessage>,
        queue: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), PeerError> {
        let mut ticker = interval(KEEPALIVE_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.context.listing.changes();
        loop {
            tokio::select! {
                received = reader.receive() => {
                    self.last_received_at = Instant::now();
                    self.handle(&received?)?;
                    self.send_listing(&mut writer).await?;
                }
                Ok(()) = changes.changed() => self.send_listing(&mut writer).await?,
                _ = ticker.tick() => {
                    if self.last_received_at.elapsed() > SILENCE_TIMEOUT {
                        return Err(PeerError::Timeout { peer: self.peer });
                    }
                    let keepalive = keepalive_message(&self.context, &self.peer)?;
                    self.with_timeout(writer.send(&keepalive)).await?;
                }
                Some(first) = queue.recv() => {
                    self.send_queued(first, &mut writer, queue).await?;
                }
            }
        }
    }

    /// Records which listing the other replica has. A keepalive may have been sent before the latest update arrived, so
    /// an older listing is ignored.
    fn handle(&mut self, received: &PeerMessage) -> Result<(), PeerError> {
        if let PeerPayload::Alive(number) = decode(received, &self.peer)? {
            let known = self.remote_listing.unwrap_or_default();
            self.remote_listing = Some(known.max(number));
        }
        Ok(())
    }

    /// Sends the latest listing if this replica leads and the other one is known to lack it.
    async fn send_listing(
        &mut self,
        writer: &mut FrameWriter<PeerMessage>,
    ) -> Result<(), PeerError> {
        let Some(remote_listing) = self.remote_listing else {
            return Ok(());
        };
        let Some((number, update)) = self.context.listing.update_from(remote_listing) else {
            return Ok(());
        };
        self.remote_listing = Some(number);
        let message = listing_message(update, &self.peer)?;
        self.with_timeout(writer.send(&message)).await
    }

    /// Sends all queued messages with one flush.
    async fn send_queued(
        &self,
        first: Outgoing,
        writer: &mut FrameWriter<PeerMessage>,
        queue: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), PeerError> {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            let message = encode(outgoing.group, &outgoing.payload, &self.peer)?;
            self.with_timeout(writer.feed(&message)).await?;
            next = queue.try_recv().ok();
        }
        self.with_timeout(writer.flush()).await
    }

    /// Fails a write that takes longer than [`SEND_TIMEOUT`].
    async fn with_timeout(
        &self,
        send: impl Future<Output = Result<(), sablehaven_wire::WireError>>,
    ) -> Result<(), PeerError> {
        match timeout(SEND_TIMEOUT, send).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(PeerError::Timeout {
                peer: self.peer.clone(),
            }),
        }
    }
}
