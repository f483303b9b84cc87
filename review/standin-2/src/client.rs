//! Clients: one with a new connection for each request, and one that keeps its connection.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{read_body, read_head};

/// A request.
pub struct Request {
    method: String,
    target: String,
    host: String,
    headers: String,
    pub body: String,
}

/// A complete answer.
pub struct Answer {
    pub status: u16,
    pub stamp: Option<String>,
    pub location: Option<String>,
    pub body: Vec<u8>,
}

impl Answer {
    /// An interim response, after which the connection ended.
    fn interim(status: u16) -> Self {
        Self {
            status,
            stamp: None,
            location: None,
            body: Vec::new(),
        }
    }
}

impl Request {
    pub fn new(method: &str, target: &str, host: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            host: host.to_owned(),
            headers: String::new(),
            body: String::new(),
        }
    }

    /// A client's request with an id and a deadline.
    pub fn with_deadline(target: &str, host: &str, id: &str, deadline_ms: u64) -> Self {
        let mut request = Self::new("GET", target, host);
        request.headers =
            format!("X-Sablehaven-Request-Id: {id}\r\nX-Sablehaven-Deadline-Ms: {deadline_ms}\r\n");
        request
    }

    /// The bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Self {
            method,
            target,
            host,
            headers,
            body,
        } = self;
        let length = body.len();
        format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
            .into_bytes()
    }

    /// Sends the request on a new connection and reads the whole answer.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> std::io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(&self.bytes())?;
        read_answer(&mut BufReader::new(stream)).map(|(answer, _)| answer)
    }
}

/// A connection to a gateway that is kept for many requests.
pub struct Connection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a request and reads the whole answer. A connection that has ended is opened again by the next call.
    pub fn call(
        &mut self,
        target: &str,
        host: &str,
        id: &str,
        deadline_ms: u64,
    ) -> std::io::Result<Answer> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.address)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
                BufReader::new(stream)
            }
        };
        let request = Request::with_deadline(target, host, id, deadline_ms);
        stream.get_mut().write_all(&request.bytes())?;
        let (answer, is_last) = read_answer(&mut stream)?;
        if !is_last {
            self.stream = Some(stream);
        }
        Ok(answer)
    }
}

/// Reads a whole answer, and whether it is the last one of its connection.
fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<(Answer, bool)> {
    let ended = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let head = read_head(reader).ok_or_else(ended)?;
    if head.status() == 101 {
        // The connection ends without another answer, or the read times out.
        return match read_head(reader) {
            None => Ok((Answer::interim(head.status()), true)),
            Some(_) => Err(std::io::Error::other("an answer after an interim response")),
        };
    }
    let body = read_body(reader, head.content_length()).ok_or_else(ended)?;
    let is_last = head
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let answer = Answer {
        status: head.status(),
        stamp: head.header("x-sablehaven-server-stamp").map(str::to_owned),
        location: head.header("location").map(str::to_owned),
        body,
    };
    Ok((answer, is_last))
}
