//! Bodies of HTTP/2 replies end in reverse order, and everything else keeps its order.

use std::time::Duration;

use sablehaven_faults::Proxy;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const SETTINGS: u8 = 4;
const HEADERS: u8 = 1;
const DATA: u8 = 0;

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend_from_slice(&[kind, 0]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

fn frames() -> Vec<Vec<u8>> {
    vec![
        frame(SETTINGS, 0, b""),
        frame(HEADERS, 1, b"first"),
        frame(HEADERS, 3, b"second"),
        frame(DATA, 1, b"one"),
        frame(DATA, 3, b"two"),
        frame(DATA, 1, b"one more"),
    ]
}

/// What a client reads through a proxy when a server sends the frames and closes.
async fn read_through(reorder_within: Option<Duration>) -> Vec<u8> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bound");
    let proxy = Proxy::start(listener.local_addr().expect("address"), 1)
        .await
        .expect("proxy");
    proxy.change_faults(|faults| faults.backward.reorder_within = reorder_within);
    let mut client = TcpStream::connect(proxy.address())
        .await
        .expect("connected");
    let (mut server, _) = listener.accept().await.expect("accepted");
    // Cut at odd places, so that frames arrive in pieces; the first piece holds the first header.
    let bytes = frames().concat();
    for piece in [&bytes[..12], &bytes[12..40], &bytes[40..]] {
        server.write_all(piece).await.expect("sent");
        server.flush().await.expect("flushed");
    }
    server.shutdown().await.expect("closed");
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("received");
    received
}

#[tokio::test]
async fn without_the_fault_nothing_changes() {
    assert_eq!(read_through(None).await, frames().concat());
}

#[tokio::test]
async fn bodies_end_in_reverse_order_behind_their_headers() {
    let received = read_through(Some(Duration::from_secs(3_600))).await;
    let [settings, first, second, one, two, one_more] =
        <[Vec<u8>; 6]>::try_from(frames()).expect("six frames");
    let expected = [settings, first, second, two, one, one_more].concat();
    assert_eq!(received, expected);
}
