//! A TCP forwarder that simulates a silent network partition: connections stay open while no bytes pass.

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

/// Forwards connections to one address, except while it is blocked.
#[derive(Clone)]
pub struct Forwarder {
    pub address: SocketAddr,
    is_blocked: Arc<watch::Sender<bool>>,
}

impl Forwarder {
    pub async fn start(target: SocketAddr) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any_port).await.expect("listen");
        let address = listener.local_addr().expect("address");
        let is_blocked = Arc::new(watch::channel(false).0);
        let blocked = Arc::clone(&is_blocked);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, blocked.subscribe()));
            }
        });
        Self {
            address,
            is_blocked,
        }
    }

    pub fn block(&self) {
        self.is_blocked.send_replace(true);
    }

    pub fn unblock(&self) {
        self.is_blocked.send_replace(false);
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, blocked: watch::Receiver<bool>) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    // With Nagle's algorithm, delayed small writes would look like a slow network.
    let _ = (stream.set_nodelay(true), target_stream.set_nodelay(true));
    let (client_read, client_write) = stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    tokio::select! {
        () = copy_unless_blocked(client_read, target_write, blocked.clone()) => {}
        () = copy_unless_blocked(target_read, client_write, blocked) => {}
    }
}

async fn copy_unless_blocked(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut blocked: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || blocked.wait_for(|is_blocked| !is_blocked).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
