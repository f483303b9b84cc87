//! The proxy: accepts, connects on, and lets two flows copy.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::{
    fault::{Direction, FaultTable, Faults},
    flow::{Ending, Flow},
};

/// Time for which the far side stays open after a reset that follows a delivery.
const FAR_SIDE_LINGER: Duration = Duration::from_secs(2);

/// Errors of starting a proxy.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ProxyError {
    /// bind proxy for {upstream}: {source}
    Bind {
        /// The process behind the proxy.
        upstream: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Counts of a proxy since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections refused by a fault.
    pub refused: u64,
    /// Connections reset by a fault.
    pub reset: u64,
    /// Bytes passed on in both directions.
    pub bytes: u64,
}

/// What the connections of one proxy share.
pub(crate) struct Shared {
    upstream: Mutex<SocketAddr>,
    pub faults: watch::Sender<FaultTable>,
    connections: Mutex<CancellationToken>,
    pub random: Mutex<Pcg64Mcg>,
    accepted: AtomicU64,
    refused: AtomicU64,
    reset: AtomicU64,
    pub bytes: AtomicU64,
}

/// A proxy on one link; it ends when it is dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a loopback port from the system and passes connections on to `upstream`.
    pub async fn start(upstream: SocketAddr, seed: u64) -> Result<Self, ProxyError> {
        let error = |source| ProxyError::Bind { upstream, source };
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let shared = Arc::new(Shared {
            upstream: Mutex::new(upstream),
            faults: watch::Sender::new(FaultTable::default()),
            connections: Mutex::new(CancellationToken::new()),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            reset: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// The address to give in place of the process's own.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes new connections on to another address (a process came back on another port).
    pub fn set_upstream(&self, upstream: SocketAddr) {
        let current = self.shared.upstream.lock();
        *current.unwrap_or_else(PoisonError::into_inner) = upstream;
    }

    /// Replaces the faults for everyone, also on open connections.
    pub fn set_faults(&self, faults: Faults) {
        self.change_faults(|current| *current = faults);
    }

    /// Changes some of the faults for everyone, also on open connections.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let faults = &self.shared.faults;
        faults.send_modify(|table| change(&mut table.everyone));
    }

    /// Replaces the faults for those who connect from an address, also on open connections. They
    /// stand in place of the faults for everyone.
    pub fn set_faults_from(&self, source: IpAddr, faults: Faults) {
        let table = &self.shared.faults;
        table.send_modify(|table| {
            table.by_source.insert(source, faults);
        });
    }

    /// Ends the faults that are only for those who connect from an address; those for everyone hold
    /// for them again.
    pub fn heal_from(&self, source: IpAddr) {
        let table = &self.shared.faults;
        table.send_modify(|table| {
            table.by_source.remove(&source);
        });
    }

    /// Lets every byte to and from an address take this long, besides any fault. Healing leaves it.
    pub fn set_latency_from(&self, source: IpAddr, one_way: Duration) {
        let table = &self.shared.faults;
        table.send_modify(|table| {
            table.latency.insert(source, one_way);
        });
    }

    /// The faults in force for everyone.
    pub fn faults(&self) -> Faults {
        self.shared.faults.borrow().everyone
    }

    /// Ends every fault.
    pub fn heal(&self) {
        self.shared.faults.send_modify(|table| {
            table.everyone = Faults::default();
            table.by_source.clear();
        });
    }

    /// Resets every open connection on both sides.
    pub fn drop_connections(&self) {
        let connections = self.shared.connections.lock();
        let mut connections = connections.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *connections).cancel();
    }

    /// What happened so far.
    pub fn counts(&self) -> ProxyCounts {
        ProxyCounts {
            accepted: self.shared.accepted.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            reset: self.shared.reset.load(Ordering::Relaxed),
            bytes: self.shared.bytes.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.drop_connections();
    }
}

impl Shared {
    fn connection_token(&self) -> CancellationToken {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn upstream(&self) -> SocketAddr {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((near, source)) = listener.accept().await {
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        if shared.faults.borrow().of(source.ip()).refuse_connections {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            reset(&near);
            continue;
        }
        tokio::spawn(carry(near, source.ip(), Arc::clone(&shared)));
    }
}

/// Carries one connection until it ends.
async fn carry(mut near: TcpStream, source: IpAddr, shared: Arc<Shared>) {
    let dropped = shared.connection_token();
    let far = tokio::select! {
        far = TcpStream::connect(shared.upstream()) => far,
        () = dropped.cancelled() => return reset(&near),
    };
    let Ok(mut far) = far else {
        return reset(&near);
    };
    // A proxy must not add waits of its own to small writes; an error leaves only that wait.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let ending = copy_both_ways(&mut near, &mut far, source, &shared, &dropped).await;
    match ending {
        Ending::Closed => {}
        Ending::Reset => {
            shared.reset.fetch_add(1, Ordering::Relaxed);
            reset(&near);
            reset(&far);
        }
        Ending::ResetAfterDelivery => {
            shared.reset.fetch_add(1, Ordering::Relaxed);
            reset(&near);
            drop(near);
            tokio::time::sleep(FAR_SIDE_LINGER).await;
        }
    }
}

async fn copy_both_ways(
    near: &mut TcpStream,
    far: &mut TcpStream,
    source: IpAddr,
    shared: &Arc<Shared>,
    dropped: &CancellationToken,
) -> Ending {
    let (near_reader, near_writer) = near.split();
    let (far_reader, far_writer) = far.split();
    let forward = Flow::new(Direction::Forward, source, shared).copy(near_reader, far_writer);
    let backward = Flow::new(Direction::Backward, source, shared).copy(far_reader, near_writer);
    let both = async {
        tokio::pin!(forward, backward);
        tokio::select! {
            ending = &mut forward => match ending {
                Ending::Closed => backward.await,
                reset => reset,
            },
            ending = &mut backward => match ending {
                Ending::Closed => forward.await,
                reset => reset,
            },
        }
    };
    tokio::select! {
        ending = both => ending,
        () = dropped.cancelled() => Ending::Reset,
    }
}

/// Lets the closing of a socket be a reset in place of an orderly end.
fn reset(stream: &TcpStream) {
    // An error means that the socket is gone already.
    let _ = stream.set_zero_linger();
}
