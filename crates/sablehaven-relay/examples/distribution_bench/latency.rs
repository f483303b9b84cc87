//! Forwards TCP connections with a fixed one-way latency.

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

/// Maximum number of chunks in transit in one direction of a connection.
const MAX_CHUNKS_IN_TRANSIT: usize = 1_024;

/// Starts a forwarder to `target` that adds `latency` in each direction. Returns the address to
/// connect to.
pub async fn start_delaying_forwarder(target: SocketAddr, latency: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind the forwarder");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, target, latency));
        }
    });
    address
}

async fn forward(client: TcpStream, target: SocketAddr, latency: Duration) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::spawn(forward_one_way(client_read, server_write, latency));
    forward_one_way(server_read, client_write, latency).await;
}

async fn forward_one_way(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, latency: Duration) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_TRANSIT);
    tokio::spawn(async move {
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        let chunk = buffer[..count].to_vec();
        let due = Instant::now() + latency;
        if count == 0 || sender.send((due, chunk)).await.is_err() {
            return;
        }
    }
}
