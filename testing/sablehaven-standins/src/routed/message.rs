//! Requests as a stand-in server reads them.

use std::time::Instant;

use tokio::{
    io::{AsyncReadExt, BufReader},
    net::tcp::OwnedReadHalf,
};

/// Headers that a request may have.
const MAXIMUM_HEADERS: usize = 64;
/// Largest head, in bytes.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;

/// A request that reached a stand-in server.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The method.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When it was whole.
    pub at: Instant,
    /// Counts the connections of this server.
    pub connection: u64,
}

impl SeenRequest {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads the next request of a connection; `None` when it ends.
pub(super) async fn read_request(
    reader: &mut BufReader<OwnedReadHalf>,
    connection: u64,
) -> Option<SeenRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(reader.read_u8().await.ok()?);
        if head.len() > MAXIMUM_HEAD_BYTES {
            return None;
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(&head).ok()?;
    let mut seen = SeenRequest {
        method: parsed.method?.to_owned(),
        target: parsed.path?.to_owned(),
        headers: parsed
            .headers
            .iter()
            .map(|header| {
                let value = String::from_utf8_lossy(header.value).into_owned();
                (header.name.to_ascii_lowercase(), value)
            })
            .collect(),
        body: Vec::new(),
        at: Instant::now(),
        connection,
    };
    if let Some(length) = seen
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        let mut body = vec![0; length];
        reader.read_exact(&mut body).await.ok()?;
        seen.body = body;
    }
    seen.at = Instant::now();
    Some(seen)
}
