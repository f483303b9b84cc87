//! A caller that sends exactly the bytes that the test specifies, with many requests on one connection.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use super::WAIT_TIMEOUT;

/// A caller's connection.
pub struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("connect");
        Self { stream }
    }

    /// Connects with a receive buffer of a fixed size, in bytes.
    pub async fn connect_with_receive_buffer(address: SocketAddr, size: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_recv_buffer_size(size).expect("set buffer size");
        let stream = socket.connect(address).await.expect("connect");
        Self { stream }
    }

    /// Sends the bytes of `text` unchanged.
    pub async fn send(&mut self, text: &str) {
        let sent = self.stream.write_all(text.as_bytes()).await;
        sent.expect("send");
    }

    /// Sends a request without a body and returns the response.
    pub async fn request(&mut self, path: &str, headers: &[&str]) -> String {
        self.send(&request_head("GET", path, headers)).await;
        self.receive().await
    }

    /// Receives the next response and returns its head and body as text.
    pub async fn receive(&mut self) -> String {
        let received = timeout(WAIT_TIMEOUT, self.read_response()).await;
        received.expect("a response in time")
    }

    async fn read_response(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.expect("a complete head"));
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.lines().map(str::to_ascii_lowercase);
        let length =
            lines.find_map(|line| line.strip_prefix("content-length: ").map(str::to_owned));
        let length = length.map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        let read = self.stream.read_exact(&mut body).await;
        read.expect("a complete body");
        head + &String::from_utf8_lossy(&body)
    }

    /// Whether the gateway has closed the connection, or does so within `limit`.
    pub async fn is_closed_within(&mut self, limit: Duration) -> bool {
        let read = timeout(limit, self.stream.read_u8()).await;
        read.is_ok_and(|read| read.is_err())
    }
}

/// Builds the head of a request.
pub fn request_head(method: &str, path: &str, headers: &[&str]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: stock.example\r\n");
    head += "sablehaven-request-id: raw\r\n";
    for header in headers {
        head += header;
        head += "\r\n";
    }
    head + "\r\n"
}

/// Whether a response has the given status code.
pub fn has_status(response: &str, status: u16) -> bool {
    response.starts_with(&format!("HTTP/1.1 {status} "))
}
