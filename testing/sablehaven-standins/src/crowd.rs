//! Crowds of clients that send as much as they are allowed to and then stay connected.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::{AbortHandle, yield_now},
    time::sleep,
};

/// A crowd has settled once none of its clients has sent anything or begun to receive an answer for this long.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Receive buffer of a client that reads slowly, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;
/// Time between two reads of a client that reads slowly.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Size of a read of a client that reads slowly, in bytes.
const SLOW_READ_BYTES: usize = 64;

/// What one client of a crowd does on its connection.
#[derive(Clone)]
pub struct Script {
    /// What is sent, write by write.
    pub writes: Vec<Bytes>,
    /// What it does afterwards.
    pub ending: Ending,
}

/// What a client does after it has sent everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Stays connected and reads nothing.
    Stay,
    /// Reads a few bytes now and then.
    ReadSlowly,
    /// Sends more bytes for as long as they are taken.
    SendOn,
}

/// A crowd of clients. Dropping it closes their connections.
pub struct Crowd {
    clients: Vec<AbortHandle>,
    progress: Arc<AtomicU64>,
}

impl Crowd {
    /// Connects `size` clients to an address; `script` returns what each of them does.
    pub fn start(address: SocketAddr, size: usize, script: impl Fn(usize) -> Script) -> Self {
        let progress = Arc::new(AtomicU64::new(0));
        let client = |number| {
            let running = run_client(address, script(number), Arc::clone(&progress));
            tokio::spawn(running).abort_handle()
        };
        Self {
            clients: (0..size).map(client).collect(),
            progress,
        }
    }

    /// Waits until the clients have sent what they can, and their answers have begun to arrive.
    pub async fn settle(&self) {
        let mut before = None;
        loop {
            let now = self.progress.load(Ordering::SeqCst);
            if before == Some(now) {
                return;
            }
            before = Some(now);
            sleep(SETTLE_TIME).await;
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

/// Runs one client. An error ends its script, since the other side may close the connection.
async fn run_client(address: SocketAddr, script: Script, progress: Arc<AtomicU64>) {
    let Ok(mut stream) = connect(address, script.ending).await else {
        return;
    };
    for bytes in &script.writes {
        if send(&mut stream, bytes, &progress).await.is_err() {
            return;
        }
        yield_now().await;
    }
    match script.ending {
        Ending::Stay => std::future::pending().await,
        Ending::ReadSlowly => read_slowly(&mut stream, &progress).await,
        Ending::SendOn => {
            let bytes = Bytes::from_static(&[b'x'; 4 * 1024]);
            while send(&mut stream, &bytes, &progress).await.is_ok() {}
        }
    }
}

async fn connect(address: SocketAddr, ending: Ending) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if ending == Ending::ReadSlowly {
        socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)?;
    }
    socket.connect(address).await
}

async fn send(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    progress: &AtomicU64,
) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let length = stream.write(bytes).await?;
        progress.fetch_add(length as u64, Ordering::SeqCst);
        bytes = &bytes[length..];
    }
    Ok(())
}

/// Reads a few bytes now and then. Only the first of them count as progress.
async fn read_slowly(stream: &mut TcpStream, progress: &AtomicU64) {
    let mut buffer = [0; SLOW_READ_BYTES];
    let mut uncounted = 1;
    while stream
        .read(&mut buffer)
        .await
        .is_ok_and(|length| length > 0)
    {
        progress.fetch_add(uncounted, Ordering::SeqCst);
        uncounted = 0;
        sleep(SLOW_READ_INTERVAL).await;
    }
}
