//! Each fault over real connections: seen with it, and not seen without it.

use std::{net::SocketAddr, time::Duration};

use sablehaven_faults::{Direction, Faults, Proxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};

/// Whatever has not come after this long never will.
const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for loopback to deliver what nothing holds back.
const A_WHILE: Duration = Duration::from_millis(100);

/// An echo server that also reports what it received.
async fn echo_server() -> (SocketAddr, mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bound");
    let address = listener.local_addr().expect("address");
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(echo(stream, sender.clone()));
        }
    });
    (address, receiver)
}

async fn echo(mut stream: TcpStream, received: mpsc::UnboundedSender<Vec<u8>>) {
    let mut buffer = vec![0; 4096];
    while let Ok(length) = stream.read(&mut buffer).await {
        if length == 0 || received.send(buffer[..length].to_vec()).is_err() {
            return;
        }
        if stream.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

struct Link {
    proxy: Proxy,
    stream: TcpStream,
    received: mpsc::UnboundedReceiver<Vec<u8>>,
}

async fn link() -> Link {
    let (address, received) = echo_server().await;
    let proxy = Proxy::start(address, 1).await.expect("proxy");
    let stream = TcpStream::connect(proxy.address())
        .await
        .expect("connected");
    let mut link = Link {
        proxy,
        stream,
        received,
    };
    link.send("hello").await;
    assert_eq!(link.receive(5).await.expect("echo"), b"hello");
    assert_eq!(link.server_receives().await, b"hello");
    link
}

impl Link {
    async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("sent");
    }

    async fn receive(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        let mut buffer = vec![0; length];
        let read = self.stream.read_exact(&mut buffer);
        timeout(PATIENCE, read)
            .await
            .expect("in time")
            .map(|_| buffer)
    }

    async fn receive_to_end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut buffer = Vec::new();
        let read = self.stream.read_to_end(&mut buffer);
        timeout(PATIENCE, read)
            .await
            .expect("in time")
            .map(|_| buffer)
    }

    async fn receives_nothing(&mut self) -> bool {
        let mut buffer = [0];
        timeout(A_WHILE, self.stream.peek(&mut buffer))
            .await
            .is_err()
    }

    async fn server_receives(&mut self) -> Vec<u8> {
        let received = timeout(PATIENCE, self.received.recv()).await;
        received.expect("in time").expect("server lives")
    }
}

#[tokio::test]
async fn a_cut_is_silent_one_way_and_heals_without_loss() {
    let mut link = link().await;
    link.proxy.set_faults(Faults::cut(Direction::Backward));
    link.send("question").await;
    assert_eq!(link.server_receives().await, b"question");
    assert!(link.receives_nothing().await);
    link.proxy.heal();
    assert_eq!(link.receive(8).await.expect("echo"), b"question");
}

#[tokio::test]
async fn a_cut_of_requests_keeps_them_from_the_server_until_it_heals() {
    let mut link = link().await;
    link.proxy.set_faults(Faults::freeze());
    link.send("question").await;
    assert!(timeout(A_WHILE, link.received.recv()).await.is_err());
    link.proxy.heal();
    assert_eq!(link.server_receives().await, b"question");
}

#[tokio::test]
async fn a_delay_is_kept_in_both_directions() {
    let mut link = link().await;
    let one_way = Duration::from_millis(60);
    link.proxy.set_faults(Faults::latency(one_way));
    let sent = std::time::Instant::now();
    link.send("question").await;
    assert_eq!(link.receive(8).await.expect("echo"), b"question");
    assert!(sent.elapsed() >= 2 * one_way);
}

#[tokio::test]
async fn a_latency_is_no_fault_and_stays_when_faults_heal() {
    let mut link = link().await;
    let one_way = Duration::from_millis(60);
    link.proxy.set_latency_from([127, 0, 0, 1].into(), one_way);
    link.proxy.heal();
    let sent = std::time::Instant::now();
    link.send("question").await;
    assert_eq!(link.receive(8).await.expect("echo"), b"question");
    assert!(sent.elapsed() >= 2 * one_way);
}

#[tokio::test]
async fn jitter_never_changes_the_order_of_bytes() {
    let mut link = link().await;
    link.proxy
        .change_faults(|faults| faults.forward.jitter = Duration::from_millis(5));
    let mut expected = Vec::new();
    for number in 0..50 {
        let text = format!("{number:04}");
        link.send(&text).await;
        expected.extend_from_slice(text.as_bytes());
    }
    assert_eq!(link.receive(200).await.expect("echo"), expected);
}

#[tokio::test]
async fn a_truncation_ends_the_connection_in_the_middle() {
    let mut link = link().await;
    link.proxy
        .change_faults(|faults| faults.backward.truncate_after = Some(3));
    link.send("question").await;
    assert_eq!(link.receive_to_end().await.expect("an orderly end"), b"que");
}

#[tokio::test]
async fn a_reset_after_delivery_lets_the_request_run() {
    let mut link = link().await;
    link.proxy
        .change_faults(|faults| faults.reset_after_delivery_per_mille = 1_000);
    link.send("question").await;
    assert_eq!(link.server_receives().await, b"question");
    let error = link.receive_to_end().await.expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(link.proxy.counts().reset, 1);
}

#[tokio::test]
async fn dropped_connections_are_reset_and_new_ones_pass() {
    let mut link = link().await;
    link.proxy.drop_connections();
    assert!(link.receive_to_end().await.is_err());
    link.stream = TcpStream::connect(link.proxy.address())
        .await
        .expect("connected");
    link.send("again").await;
    assert_eq!(link.receive(5).await.expect("echo"), b"again");
}

#[tokio::test]
async fn refused_connections_end_before_the_server_sees_them() {
    let mut link = link().await;
    link.proxy
        .change_faults(|faults| faults.refuse_connections = true);
    link.stream = TcpStream::connect(link.proxy.address())
        .await
        .expect("accepted by the system");
    // Whether the reset comes before or after the write is up to the system.
    let _ = link.stream.write_all(b"question").await;
    let ended = link.receive_to_end().await;
    assert!(ended.is_err() || ended.is_ok_and(|bytes| bytes.is_empty()));
    assert_eq!(link.proxy.counts().refused, 1);
}

#[tokio::test]
async fn a_throttle_limits_the_rate() {
    let mut link = link().await;
    link.proxy
        .change_faults(|faults| faults.backward.bytes_per_second = Some(20_000));
    let sent = std::time::Instant::now();
    for _ in 0..4 {
        link.send(&"x".repeat(1_000)).await;
        link.receive(1_000).await.expect("echo");
    }
    // The last of the four waits for nothing behind it.
    assert!(sent.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn the_end_of_a_sender_is_passed_on_after_its_last_byte() {
    let mut link = link().await;
    link.send("last").await;
    link.stream.shutdown().await.expect("shut down");
    assert_eq!(
        link.receive_to_end().await.expect("an orderly end"),
        b"last"
    );
}

#[tokio::test]
async fn a_process_that_came_back_elsewhere_is_reached() {
    let mut link = link().await;
    let (address, mut received) = echo_server().await;
    link.proxy.set_upstream(address);
    link.stream = TcpStream::connect(link.proxy.address())
        .await
        .expect("connected");
    link.send("moved").await;
    let moved = timeout(PATIENCE, received.recv()).await.expect("in time");
    assert_eq!(moved.expect("server lives"), b"moved");
}

#[tokio::test]
async fn faults_of_one_source_spare_the_others_and_end_alone() {
    let mut spared = link().await;
    let source = std::net::IpAddr::from([127, 0, 0, 77]);
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket.bind((source, 0).into()).expect("bound");
    let mut cut = socket
        .connect(spared.proxy.address())
        .await
        .expect("connected");
    spared.proxy.set_faults_from(source, Faults::freeze());
    cut.write_all(b"held").await.expect("written");
    spared.send("passed").await;
    assert_eq!(spared.receive(6).await.expect("echo"), b"passed");
    assert_eq!(spared.server_receives().await, b"passed");
    assert!(timeout(A_WHILE, spared.received.recv()).await.is_err());
    spared.proxy.heal_from(source);
    assert_eq!(spared.server_receives().await, b"held");
}
