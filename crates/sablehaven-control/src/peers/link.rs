//! One outgoing connection to another replica, kept up for as long as it is wanted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_types::ListingNumber;
use sablehaven_wire::{DialPatience, FrameReader, FrameWriter, PeerMessage};
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use super::{
    introduction::{PeerContext, PeerError, dial},
    links::Links,
    payload::{PeerPayload, alive, decode, encode, listing},
};

/// Pause before a lost connection is dialled again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time between two signs of life.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a sign of life after which a connection is dialled anew. A connection that a
/// network silently cut would otherwise be held by the kernel for many minutes.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time that one write may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// What is on its way out.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) group: u32,
    pub(super) payload: PeerPayload,
}

/// Keeps a connection to `address` up and sends on it what the queue holds.
pub(super) async fn keep_link(
    context: Arc<PeerContext>,
    links: Arc<Links>,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Outgoing>,
    sender: mpsc::Sender<Outgoing>,
) {
    let mut patience = DialPatience::default();
    loop {
        let Some(dialled) = patience.attempt(dial(&context, address)).await else {
            continue;
        };
        // Failures are routine here (the other side is down) and show in the status page.
        if let Ok((connection, theirs)) = dialled {
            // What waited for the last connection is stale; the replicas send it again.
            while queue.try_recv().is_ok() {}
            links.add_route(address, theirs.replica, sender.clone());
            let reader = connection.reader;
            let writer = connection.writer;
            let pump = Pump {
                context: Arc::clone(&context),
                listing: None,
                peer: address.to_string(),
                last_sign: Instant::now(),
            };
            let _ = pump.run(reader, writer, &mut queue).await;
            links.set_down(address);
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

struct Pump {
    context: Arc<PeerContext>,
    /// The reading of the list that the other side has, once it has said so.
    listing: Option<ListingNumber>,
    peer: String,
    last_sign: Instant,
}

impl Pump {
    async fn run(
        mut self,
        mut reader: FrameReader<PeerMessage>,
        mut writer: FrameWriter<PeerMessage>,
        queue: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), PeerError> {
        let mut ticker = interval(ALIVE_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.context.listing.changes();
        loop {
            tokio::select! {
                received = reader.receive() => {
                    self.last_sign = Instant::now();
                    self.take(&received?)?;
                    self.send_listing(&mut writer).await?;
                }
                Ok(()) = changes.changed() => self.send_listing(&mut writer).await?,
                _ = ticker.tick() => {
                    if self.last_sign.elapsed() > SILENCE_LIMIT {
                        return Err(PeerError::Silent { peer: self.peer });
                    }
                    let sign = alive(&self.context, &self.peer)?;
                    self.within_limit(writer.send(&sign)).await?;
                }
                Some(first) = queue.recv() => {
                    self.send_queued(first, &mut writer, queue).await?;
                }
            }
        }
    }

    /// Notes which reading of the list the other side has.
    fn take(&mut self, received: &PeerMessage) -> Result<(), PeerError> {
        if let PeerPayload::Alive(said) = decode(received, &self.peer)? {
            let known = self.listing.unwrap_or_default();
            self.listing = Some(known.max(said));
        }
        Ok(())
    }

    /// Sends the leader's reading where the other side is known to lack it.
    async fn send_listing(
        &mut self,
        writer: &mut FrameWriter<PeerMessage>,
    ) -> Result<(), PeerError> {
        let Some(held) = self.listing else {
            return Ok(());
        };
        let Some((number, update)) = self.context.listing.update_from(held) else {
            return Ok(());
        };
        self.listing = Some(number);
        let message = listing(update, &self.peer)?;
        self.within_limit(writer.send(&message)).await
    }

    /// Sends everything that is queued with one flush.
    async fn send_queued(
        &self,
        first: Outgoing,
        writer: &mut FrameWriter<PeerMessage>,
        queue: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), PeerError> {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            let message = encode(outgoing.group, &outgoing.payload, &self.peer)?;
            self.within_limit(writer.feed(&message)).await?;
            next = queue.try_recv().ok();
        }
        self.within_limit(writer.flush()).await
    }

    async fn within_limit(
        &self,
        send: impl Future<Output = Result<(), sablehaven_wire::WireError>>,
    ) -> Result<(), PeerError> {
        match timeout(SEND_TIMEOUT, send).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(PeerError::Silent {
                peer: self.peer.clone(),
            }),
        }
    }
}
