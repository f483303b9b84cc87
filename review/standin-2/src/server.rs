//! A server: answers each request after a time with a signed body that ends with the request's id, turns away requests
//! for another instance, and records what it runs. It is sound unless it is told to send surplus bytes.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, read_body, read_head};

/// A request that the server ran.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// Bytes that a faulty server sends after a whole answer, when the next request of the connection has arrived.
#[derive(Clone, Copy)]
pub enum Surplus {
    /// The answer once more, without the request id.
    CopyWithoutId,
    /// An answer that says that a request was not executed, without a request id.
    NotExecuted,
}

/// A running server; cheap to clone.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    body: Vec<u8>,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    has_ended: AtomicBool,
    stamps: AtomicU64,
    /// The surplus, and how many answers there are for each.
    surplus: Mutex<Option<(Surplus, u64)>>,
    sent_surplus: AtomicU64,
}

impl Server {
    pub fn start(id: &str, body: Vec<u8>, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            shared: Arc::new(Shared {
                body,
                work,
                runs: Mutex::default(),
                has_ended: AtomicBool::new(false),
                stamps: AtomicU64::new(0),
                surplus: Mutex::default(),
                sent_surplus: AtomicU64::new(0),
            }),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended() {
                    return;
                }
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("runs").clone()
    }

    /// Ends the server: it answers nothing more, closes its connections and accepts no others.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts or stops to send surplus bytes after one in so many answers.
    pub fn set_surplus(&self, surplus: Option<(Surplus, u64)>) {
        *self.shared.surplus.lock().expect("surplus") = surplus;
    }

    /// How often it has sent surplus bytes.
    pub fn sent_surplus(&self) -> u64 {
        self.shared.sent_surplus.load(Ordering::SeqCst)
    }

    fn has_ended(&self) -> bool {
        self.shared.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("stream");
        let mut reader = BufReader::new(stream);
        let mut late_bytes = Vec::new();
        while let Some(head) = read_head(&mut reader) {
            if read_body(&mut reader, head.content_length()).is_none() || self.has_ended() {
                return;
            }
            if !late_bytes.is_empty() {
                self.shared.sent_surplus.fetch_add(1, Ordering::SeqCst);
                if writer.write_all(&std::mem::take(&mut late_bytes)).is_err() {
                    return;
                }
            }
            let answer = self.answer(&head);
            if self.has_ended() {
                return;
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
            late_bytes = self.surplus_after(&answer);
        }
    }

    /// The bytes that follow an answer late; mostly none.
    fn surplus_after(&self, answer: &[u8]) -> Vec<u8> {
        let surplus = *self.shared.surplus.lock().expect("surplus");
        let count = self.shared.stamps.load(Ordering::SeqCst);
        match surplus {
            Some((Surplus::CopyWithoutId, interval)) if count.is_multiple_of(interval) => {
                let text = String::from_utf8_lossy(answer);
                let lines = text.split_inclusive("\r\n");
                let kept = lines.filter(|line| !line.starts_with("X-Sablehaven-Request-Id"));
                kept.collect::<String>().into_bytes()
            }
            Some((Surplus::NotExecuted, interval)) if count.is_multiple_of(interval) => {
                b"HTTP/1.1 503 Service Unavailable\r\nX-Sablehaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
            }
            _ => Vec::new(),
        }
    }

    fn answer(&self, head: &Head) -> Vec<u8> {
        if head.target() == "/health" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Sablehaven-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return answer.into_bytes();
        }
        let expected = head.header("x-sablehaven-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return b"HTTP/1.1 421 Misdirected Request\r\nX-Sablehaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_vec();
        }
        let id = head.header("x-sablehaven-request-id").unwrap_or_default();
        let run = Run {
            id: id.to_owned(),
            at: Instant::now(),
        };
        self.shared.runs.lock().expect("runs").push(run);
        thread::sleep(self.shared.work);
        let number = self.shared.stamps.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Sablehaven-Request-Id: {id}\r\nX-Sablehaven-Server-Stamp: {}.{number}\r\n\
             Content-Length: {}\r\n\r\n",
            self.id,
            self.shared.body.len() + id.len()
        );
        let mut answer = head.into_bytes();
        answer.extend_from_slice(&self.shared.body);
        answer.extend_from_slice(id.as_bytes());
        answer
    }
}
