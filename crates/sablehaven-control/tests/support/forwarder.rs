//! A TCP forwarder that can go silent: connections stay open, and nothing passes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Forwards to one address until it is cut.
#[derive(Clone)]
pub struct Forwarder {
    pub address: SocketAddr,
    is_cut: Arc<watch::Sender<bool>>,
}

impl Forwarder {
    pub async fn start(target: SocketAddr) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any_port).await.expect("listen");
        let address = listener.local_addr().expect("address");
        let is_cut = Arc::new(watch::channel(false).0);
        let cut = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, cut.subscribe()));
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    pub fn heal(&self) {
        self.is_cut.send_replace(false);
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, cut: watch::Receiver<bool>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    // Delayed small writes would look like a slow network.
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = other.into_split();
    tokio::select! {
        () = pump(near_read, far_write, cut.clone()) => {}
        () = pump(far_read, near_write, cut) => {}
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || cut.wait_for(|is_cut| !is_cut).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
