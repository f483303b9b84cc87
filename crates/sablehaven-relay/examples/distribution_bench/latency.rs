//! Forwards connections with a fixed one-way latency.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, sleep_until},
};

/// Pieces on their way on one direction of a connection.
const PIECES: usize = 1_024;

/// Forwards connections to `target`; returns the address to connect to.
pub async fn delayed(target: SocketAddr, latency: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(forward(near, target, latency));
        }
    });
    address
}

async fn forward(near: TcpStream, target: SocketAddr, latency: Duration) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::spawn(pipe(near_read, far_write, latency));
    pipe(far_read, near_write, latency).await;
}

async fn pipe(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, latency: Duration) {
    let (sender, mut pieces) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    tokio::spawn(async move {
        while let Some((due, piece)) = pieces.recv().await {
            sleep_until(due).await;
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        let piece = buffer[..count].to_vec();
        let due = Instant::now() + latency;
        if count == 0 || sender.send((due, piece)).await.is_err() {
            return;
        }
    }
}
